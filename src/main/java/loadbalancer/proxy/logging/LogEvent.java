package loadbalancer.proxy.logging;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A structured log line: the name of the event, the monotonic time in microseconds, the wall-clock time, and
 * {@code key=value} fields in the order in which they are added.
 */
public final class LogEvent {
    private static final int NANOS_PER_MICROSECOND = 1_000;

    private final StringBuilder line;

    private LogEvent(String name) {
        line = new StringBuilder("event=")
                .append(name)
                .append(" mono_us=")
                .append(System.nanoTime() / NANOS_PER_MICROSECOND)
                .append(" wall=")
                .append(Instant.now().truncatedTo(ChronoUnit.MILLIS));
    }

    /** Creates an event with the current time. */
    public static LogEvent named(String name) {
        return new LogEvent(name);
    }

    /** Adds a numeric field. */
    public LogEvent with(String key, long value) {
        line.append(' ').append(key).append('=').append(value);
        return this;
    }

    /** Adds a boolean field. */
    public LogEvent with(String key, boolean value) {
        line.append(' ').append(key).append('=').append(value);
        return this;
    }

    /**
     * Adds a text field. The value is enclosed in double quotes if it is empty or contains a space, a double quote or
     * an equals sign. Double quotes in the value become single quotes.
     */
    public LogEvent with(String key, Object value) {
        String text = String.valueOf(value);
        line.append(' ').append(key).append('=');
        if (needsQuotes(text)) {
            line.append('"').append(text.replace('"', '\'')).append('"');
        } else {
            line.append(text);
        }
        return this;
    }

    private static boolean needsQuotes(String text) {
        return text.isEmpty() || text.indexOf(' ') >= 0 || text.indexOf('"') >= 0 || text.indexOf('=') >= 0;
    }

    @Override
    public String toString() {
        return line.toString();
    }
}

package loadbalancer.proxy.logging;

import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.function.Supplier;
import java.util.logging.Logger;

/**
 * Writes log lines for operators to standard error. A dedicated thread writes them, so that the event loop does not
 * block if nothing reads standard error. Lines beyond a rate limit are dropped, and their number is logged before the
 * next line.
 *
 * <p>Lines about single requests and connections are written only if the environment variable {@code LOADBALANCER_LOG}
 * is {@code requests}. They have a separate rate limit, so that they do not displace lines about the state of the
 * process.
 */
public final class EventLog {
    private static final String LEVEL_VARIABLE = "LOADBALANCER_LOG";
    private static final String REQUEST_LEVEL = "requests";
    private static final boolean WRITES_REQUESTS = REQUEST_LEVEL.equals(System.getenv(LEVEL_VARIABLE));

    private static final int MAX_QUEUED_LINES = 64;
    private static final int MAX_STACK_FRAMES = 40;

    /** A strong reference, because a logger without one may be garbage-collected together with its handler. */
    private static final Logger NETTY_LOGGER = Logger.getLogger("io.netty");

    private static final BlockingQueue<String> QUEUE = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);

    private static final LineRateLimit STATE_LIMIT = new LineRateLimit();
    private static final LineRateLimit REQUEST_LIMIT = new LineRateLimit();
    private static long droppedLines;

    static {
        Thread writer = new Thread(EventLog::writeQueuedLines, "log");
        writer.setDaemon(true);
        writer.start();
    }

    private EventLog() {}

    /** Writes a line about the state of the process. Line breaks in the text become spaces. */
    public static void message(String text) {
        if (tryAcquire(STATE_LIMIT)) {
            enqueue(onOneLine(text));
        }
    }

    /** Writes a line without a rate limit, because scripts wait for this line when the process starts. */
    public static void startupMessage(String text) {
        enqueue(text);
    }

    /** Writes an event about the state of the process. */
    public static void event(LogEvent event) {
        message(event.toString());
    }

    /** Writes an event about a single request or connection. The event is created only if it is written. */
    public static void requestEvent(Supplier<LogEvent> event) {
        if (WRITES_REQUESTS && tryAcquire(REQUEST_LIMIT)) {
            enqueue(onOneLine(event.get().toString()));
        }
    }

    /**
     * Writes an unexpected error with its stack trace.
     *
     * @param operation what has failed; the line begins with it
     */
    public static void error(String operation, Throwable cause) {
        if (tryAcquire(STATE_LIMIT)) {
            StringBuilder text = new StringBuilder(operation).append(": ").append(cause);
            StackTraceElement[] frames = cause.getStackTrace();
            for (int i = 0; i < Math.min(MAX_STACK_FRAMES, frames.length); i++) {
                text.append(System.lineSeparator()).append("    at ").append(frames[i]);
            }
            enqueue(text.toString());
        }
    }

    /**
     * Writes Netty's log records to this log. The JDK's default log handler opens files when it first formats a time.
     * If no file descriptor is left, this fails and stops the event loop.
     */
    public static void redirectNettyLog() {
        NETTY_LOGGER.setUseParentHandlers(false);
        NETTY_LOGGER.addHandler(new NettyLogHandler());
    }

    private static String onOneLine(String text) {
        return text.replace('\n', ' ').replace('\r', ' ');
    }

    @SuppressWarnings("ThreadPriorityCheck")
    private static void writeQueuedLines() {
        while (true) {
            try {
                System.err.println(QUEUE.take());
            } catch (InterruptedException | RuntimeException | Error e) {
                // A failure of the log cannot be logged; the next line may succeed.
                Thread.yield();
            }
        }
    }

    private static synchronized boolean tryAcquire(LineRateLimit limit) {
        boolean isAcquired = limit.tryAcquire();
        if (!isAcquired) {
            droppedLines++;
        }
        return isAcquired;
    }

    private static synchronized void enqueue(String text) {
        if (droppedLines > 0 && QUEUE.offer(droppedLinesEvent())) {
            droppedLines = 0;
        }
        if (!QUEUE.offer(text)) {
            droppedLines++;
        }
    }

    private static String droppedLinesEvent() {
        return LogEvent.named("log_dropped").with("lines", droppedLines).toString();
    }
}

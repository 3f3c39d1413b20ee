package loadbalancer.proxy.logging;

import java.util.logging.Handler;
import java.util.logging.LogRecord;

/** Writes Netty's log records to the {@link EventLog}. */
final class NettyLogHandler extends Handler {
    @Override
    public void publish(LogRecord record) {
        Throwable cause = record.getThrown();
        EventLog.message(record.getMessage() + (cause == null ? "" : ": " + cause));
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}

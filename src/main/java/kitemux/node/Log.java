package kitemux.node;

import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Lines for the operators on standard error: few, so that a flood of failures cannot stall the loop. */
final class Log {
    private static final int MOST_PER_S = 20;
    /** Held, as else it and its handler could be collected. */
    private static final Logger NETTY = Logger.getLogger("io.netty");

    private static long second;
    private static int lines;

    private Log() { }

    static void line(String text) {
        if (hasRoom()) {
            System.err.println(text.replace('\n', ' ').replace('\r', ' '));
        }
    }

    /**
     * Takes over Netty's warnings. The JDK's own handler opens files as it first tells the time; where there
     * was no descriptor left for them, the error that this ended in ended the event loop too.
     */
    static void takeOverWarnings() {
        NETTY.setUseParentHandlers(false);
        NETTY.addHandler(new Handler() {
            @Override
            public void publish(LogRecord warning) {
                Throwable cause = warning.getThrown();
                line(warning.getMessage() + (cause == null ? "" : ": " + cause));
            }

            @Override
            public void flush() { }

            @Override
            public void close() { }
        });
    }

    static void error(String what, Throwable cause) {
        if (hasRoom()) {
            System.err.println(what + ": " + cause);
            for (StackTraceElement frame : cause.getStackTrace()) {
                System.err.println("    at " + frame);
            }
        }
    }

    private static synchronized boolean hasRoom() {
        long now = System.nanoTime() / 1_000_000_000L;
        if (now != second) {
            second = now;
            lines = 0;
        }
        return ++lines <= MOST_PER_S;
    }
}

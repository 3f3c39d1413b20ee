package loadbalancer.proxy.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * The log while standard error blocks or fails, and the format of log lines. A blocked standard error must not block
 * the event loop, and a failed write must not end the log.
 */
@Timeout(60)
class EventLogTest {

    @Test
    void requestsAreServedWhileStandardErrorBlocks() throws Exception {
        CountDownLatch unblocked = new CountDownLatch(1);
        CountDownLatch blocked = new CountDownLatch(1);
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(new OutputStream() {
            @Override
            public void write(int b) throws IOException {
                blocked.countDown();
                ScriptedHttpServer.await(unblocked);
            }
        }));
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            ScriptedHttpServer.next(proxy.discovery.peers).reset();
            // The proxy logs that the watch has closed, which blocks the writer thread.
            blocked.await();
            assertEquals(200, proxy.ask(HttpMessages.page("t")).status());
        } finally {
            unblocked.countDown();
            System.setErr(standardError);
        }
    }

    @Test
    void linesAreWrittenAfterAFailureOfStandardError() throws Exception {
        BlockingQueue<String> written = new LinkedBlockingQueue<>();
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(OutputStream.nullOutputStream()) {
            private boolean hasFailed;

            @Override
            public void println(String line) {
                if (!hasFailed) {
                    hasFailed = true;
                    throw new OutOfMemoryError("simulated");
                }
                written.add(line);
            }
        });
        try {
            String line;
            do {
                EventLog.message("a line");
                line = written.poll();
                Thread.onSpinWait();
            } while (line == null);
            assertTrue(line.equals("a line"), line);
        } finally {
            System.setErr(standardError);
        }
    }

    @Test
    void valuesOfAnEventAreQuotedWhereNecessary() {
        String line = LogEvent.named("discovery_call")
                .with("call", 3)
                .with("reason", "status \"503\"")
                .with("complete", true)
                .with("unavailable", "")
                .toString();
        assertTrue(
                line.matches("event=discovery_call mono_us=\\d+ wall=\\S+Z call=3 reason=\"status '503'\""
                        + " complete=true unavailable=\"\""),
                line);
    }

    @Test
    void droppedLinesAreCountedInTheLog() throws Exception {
        BlockingQueue<String> written = new LinkedBlockingQueue<>();
        PrintStream standardError = System.err;
        System.setErr(new PrintStream(OutputStream.nullOutputStream()) {
            @Override
            public void println(String line) {
                written.add(line);
            }
        });
        try {
            int burstLines = 200;
            for (int i = 0; i < burstLines; i++) {
                EventLog.message("a line of many");
            }
            long droppedLines = 0;
            // The log writes at most 20 lines per second, and the burst may span two seconds.
            while (droppedLines < burstLines - 2 * 20) {
                // The number of dropped lines is written before the next line, in the next second at the latest.
                EventLog.message("a later line");
                String line = written.poll(50, TimeUnit.MILLISECONDS);
                if (line != null && line.startsWith("event=log_dropped")) {
                    droppedLines += Long.parseLong(line.substring(line.lastIndexOf('=') + 1));
                }
            }
        } finally {
            System.setErr(standardError);
        }
    }
}

package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;
import loadbalancer.testsupport.SteppedClock;

/** Clients that take too long to send a request or to read a response. */
@Timeout(60)
class ClientTimeoutTest {
    @Test
    void silentAndStalledClientsAreTimedOut() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket silent = proxy.connect();
            Socket headOnly = proxy.connect();
            ProxyFixture.write(headOnly, "POST /api/order HTTP/1.1\r\nX-Txn: a\r\n");
            Socket partialBody = proxy.connect();
            ProxyFixture.write(partialBody, HttpMessages.order("b", "4000m").replace("\r\nab", "\r\na"));
            Socket partialSecondRequest = proxy.connect();
            assertEquals(
                    200,
                    ProxyFixture.ask(partialSecondRequest, HttpMessages.page("c"))
                            .status());
            ProxyFixture.write(partialSecondRequest, "GET /api");
            Socket idle = proxy.connect();
            assertEquals(200, ProxyFixture.ask(idle, HttpMessages.page("d")).status());
            assertEquals(-1, silent.getInputStream().read());
            for (Socket stalled : new Socket[] {headOnly, partialBody, partialSecondRequest}) {
                assertEquals(408, HttpMessages.read(stalled.getInputStream()).status());
                assertEquals(-1, stalled.getInputStream().read());
            }
            assertEquals(-1, idle.getInputStream().read());
            assertEquals(2, upstream.requests.size());
        }
    }

    @Test
    void partialRequestAfterAnOpenOneGets408AfterItsOwnReadTimeout() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        SteppedClock clock = new SteppedClock();
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat()) {
            proxy.clock = clock;
            proxy.start(upstream);
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/p", "first", "60000m") + "GET /api/p HTTP/1.1\r\n");
            ScriptedHttpServer.next(upstream.requests);
            proxy.awaitPriorInputRead();
            clock.advance(TimeUnit.MILLISECONDS.toMicros(ConnectionLimits.READ_TIMEOUT_MS) + 1);
            respond.countDown();
            assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            // The read timeout of the partial request is over before that response, and must not start again after it.
            client.setSoTimeout(1_500);
            assertEquals(408, HttpMessages.read(client.getInputStream()).status());
            assertEquals(-1, client.getInputStream().read());
        }
    }

    @Test
    @Timeout(60)
    void clientThatReadsNoResponseIsTimedOut() throws Exception {
        String large = "a".repeat(ConnectionLimits.MAX_REQUEST_BODY_BYTES);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving(large);
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            int sent = 0;
            do {
                ProxyFixture.write(client, HttpMessages.page("/api/p", "t" + sent++, "5000m"));
                // The socket buffers hold a few MB at most. Once they are full, the proxy cannot write a response.
            } while (upstream.requests.poll(1, TimeUnit.SECONDS) != null && sent < 1_000);
            assertTrue(sent < 1_000, "sent " + sent);
            // Once the proxy has closed the connection, writing fails.
            assertThrows(IOException.class, () -> {
                while (true) {
                    ProxyFixture.write(client, "x");
                    Thread.onSpinWait();
                }
            });
        }
    }
}

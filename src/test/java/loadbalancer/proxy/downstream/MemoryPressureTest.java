package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Guards against requests of some clients that take up the memory which the requests of others need. */
@Timeout(60)
class MemoryPressureTest {
    /** Allows 384 KiB for requests. */
    private static final long SMALL_MEMORY_BYTES = 3 << 20;

    private static final int STALLED_CLIENTS = 12;
    private static final int BODY_BYTES = 60_000;

    private static ProxyFixture newFixture() throws Exception {
        ProxyFixture proxy = ProxyFixture.withHeartbeat();
        proxy.maxMemoryBytes = SMALL_MEMORY_BYTES;
        return proxy;
    }

    @Test
    void stalledRequestsAreRejectedSoThatOthersAreServed() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = newFixture().start(upstream)) {
            List<Socket> stalled = new ArrayList<>();
            for (int i = 0; i < STALLED_CLIENTS; i++) {
                String order = HttpMessages.order("stalled" + i, "4000m", "b".repeat(BODY_BYTES));
                stalled.add(proxy.connect());
                ProxyFixture.write(stalled.get(i), order.substring(0, order.length() - 1));
                // The proxy has read the incomplete request.
                proxy.awaitPriorInputRead();
                assertEquals(
                        200,
                        proxy.ask(HttpMessages.order("t" + i, "4000m", "b".repeat(BODY_BYTES)))
                                .status());
            }
            assertEquals(
                    503,
                    HttpMessages.read(stalled.get(0).getInputStream()).status(),
                    "the request that has taken up its memory for the longest time is rejected, and may be retried");
            assertEquals(STALLED_CLIENTS, upstream.requests.size());
        }
    }

    /** Each request that has been received completely gets a response, also if its memory is needed for others. */
    @Test
    void pipelinedRequestsThatAreRejectedGetTheirResponsesInOrder() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = newFixture().start(upstream)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                clients.add(proxy.connect());
                ProxyFixture.write(
                        clients.get(i),
                        HttpMessages.page("first" + i)
                                + HttpMessages.order("second" + i, "20000m", "b".repeat(BODY_BYTES))
                                + HttpMessages.page("/api/page", "third" + i, "20000m"));
                proxy.awaitPriorInputRead();
            }
            respond.countDown();
            int rejected = 0;
            for (Socket client : clients) {
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
                int second = HttpMessages.read(client.getInputStream()).status();
                int third = HttpMessages.read(client.getInputStream()).status();
                assertEquals(
                        second == 503, third == 503, "both wait, and are rejected together: " + second + " " + third);
                rejected += second == 503 ? 1 : 0;
            }
            assertTrue(rejected > 0 && rejected < clients.size(), rejected + " rejected");
        }
    }

    /** The bytes that are read behind the limit of waiting requests, to detect a disconnect, hold complete requests too. */
    @Test
    void requestsThatAreReadAheadAndRejectedGetTheirResponses() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        int requests = 400;
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = newFixture().start(upstream)) {
            List<Socket> clients = new ArrayList<>();
            for (int i = 0; i < 16; i++) {
                StringBuilder pipelined = new StringBuilder();
                for (int j = 0; j < requests; j++) {
                    pipelined.append(HttpMessages.page("/api/page", i + "-" + j, "20000m"));
                }
                clients.add(proxy.connect());
                ProxyFixture.write(clients.get(i), pipelined.toString());
                proxy.awaitPriorInputRead();
            }
            respond.countDown();
            int rejected = 0;
            for (Socket client : clients) {
                for (int j = 0; j < requests; j++) {
                    int status = HttpMessages.read(client.getInputStream()).status();
                    assertTrue(status == 200 || status == 503, "status " + status);
                    rejected += status == 503 ? 1 : 0;
                }
            }
            assertTrue(rejected > 0 && rejected < clients.size() * requests, rejected + " rejected");
            for (int i = 0; i < clients.size(); i++) {
                HttpMessages.Message next = ProxyFixture.ask(clients.get(i), HttpMessages.page("next" + i));
                assertEquals(200, next.status(), "no response but those to its requests precedes it");
            }
        }
    }

    /** A client that does not read its response must not keep others from getting theirs. */
    @Test
    void connectionOfAClientThatDoesNotReadIsClosedSoThatOthersAreServed() throws Exception {
        String large = "l".repeat(900_000);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving(large);
                ProxyFixture proxy = newFixture()) {
            // Allows 4 MiB for responses.
            proxy.maxMemoryBytes = 48 << 20;
            proxy.start(upstream);
            for (int i = 0; i < 10; i++) {
                Socket slow = new Socket();
                slow.setReceiveBufferSize(4 << 10);
                slow.connect(proxy.address());
                ProxyFixture.write(slow, HttpMessages.page("slow" + i));
                assertNotNull(ScriptedHttpServer.next(upstream.peers));
                assertEquals(large, proxy.ask(HttpMessages.page("t" + i)).body());
                assertNotNull(ScriptedHttpServer.next(upstream.peers));
            }
        }
    }
}

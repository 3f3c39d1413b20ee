package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;
import java.nio.channels.SocketChannel;
import java.util.concurrent.CountDownLatch;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Pipelined requests: the order of their responses, and the limits beyond which the proxy pauses reading. */
@Timeout(60)
class RequestPipeliningTest {
    @Test
    void pipelinedRequestsGetResponsesInOrder() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) ->
                        peer.write(HttpMessages.ok(request.headers().get("x-txn"))));
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("a") + HttpMessages.page("b") + HttpMessages.page("c"));
            for (String transactionId : new String[] {"a", "b", "c"}) {
                assertEquals(
                        transactionId,
                        HttpMessages.read(client.getInputStream()).body());
            }
        }
    }

    @Test
    void pipelinedBodiesOverTheLimitAreReadAfterEarlierResponses() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/x", "open", "5000m"));
            ScriptedHttpServer.next(upstream.requests);
            for (String transactionId : new String[] {"a", "b"}) {
                ProxyFixture.write(client, HttpMessages.order(transactionId, "5000m", "a".repeat(40_000)));
            }
            proxy.awaitPriorInputRead();
            respond.countDown();
            for (int i = 0; i < 3; i++) {
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            }
            assertEquals(2, upstream.requests.size());
        }
    }

    @Test
    void allPipelinedRequestsGetResponses() throws Exception {
        CountDownLatch respond = new CountDownLatch(1);
        int requests = 300;
        try (ScriptedHttpServer upstream = ScriptedHttpServer.servingFrom(respond, "x");
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            StringBuilder pipelined = new StringBuilder();
            for (int i = 0; i < requests; i++) {
                pipelined.append(HttpMessages.page("/api/p", "t" + i, "60000m"));
            }
            ProxyFixture.write(client, pipelined.toString());
            ScriptedHttpServer.next(upstream.requests);
            proxy.awaitPriorInputRead();
            respond.countDown();
            for (int i = 0; i < requests; i++) {
                assertEquals(200, HttpMessages.read(client.getInputStream()).status());
            }
            assertEquals(requests - 1, upstream.requests.size());
        }
    }

    @Test
    void readingPausesWhileTooManyRequestsArePipelined() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream);
                SocketChannel client = SocketChannel.open(proxy.address())) {
            ProxyFixture.write(client.socket(), HttpMessages.page("open"));
            ScriptedHttpServer.next(upstream.requests);
            ConnectionCloseTest.assertProxyStopsReading(proxy, client);
        }
    }
}

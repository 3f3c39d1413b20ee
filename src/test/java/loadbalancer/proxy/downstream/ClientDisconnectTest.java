package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.net.Socket;

import org.junit.jupiter.api.Test;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Clients that disconnect before they have received their response. */
class ClientDisconnectTest {
    @Test
    void attemptIsAbandonedWhenItsClientDisconnects() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {});
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/x", "t", "5000m"));
            ScriptedHttpServer.next(upstream.requests);
            client.close();
            ScriptedHttpServer.next(upstream.closedConnections);
        }
    }

    @Test
    void disconnectAfterAPipelinedRequestAbandonsBothRequests() throws Exception {
        try (ScriptedHttpServer upstream = new ScriptedHttpServer((request, peer) -> {
                    if (!request.headers().get("x-txn").equals("open")) {
                        peer.write(HttpMessages.ok("x"));
                    }
                });
                ProxyFixture proxy = ProxyFixture.withHeartbeat().start(upstream)) {
            Socket client = proxy.connect();
            ProxyFixture.write(client, HttpMessages.page("/api/x", "open", "3600000m"));
            ScriptedHttpServer.next(upstream.requests);
            ProxyFixture.write(client, HttpMessages.page("/api/x", "ahead", "5000m"));
            proxy.awaitPriorInputRead();
            client.close();
            // The open request is abandoned at once, and the pipelined one is never forwarded.
            ScriptedHttpServer.next(upstream.closedConnections);
            assertEquals(
                    200,
                    proxy.ask(HttpMessages.page("/api/x", "later", "5000m")).status());
            assertEquals(
                    "later",
                    ScriptedHttpServer.next(upstream.requests).headers().get("x-txn"));
        }
    }
}

package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import loadbalancer.faultinjection.StandInDiscovery.Fault;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Guards against input of an endpoint that is carried over from one exchange of a connection into the next.
 *
 * <p>Failure: an order that no endpoint had executed was reported as served, with the body of a rejection.
 *
 * <p>Cause: half a line of a second response stayed in the response decoder of an idle connection. The status line of
 * the next response was appended to it: {@code HTTP/1.1 200 HTTP/1.1 503 Service Unavailable}.
 */
@Timeout(60)
class SurplusInputTest {
    /** When surplus input follows: with the response, within the reuse delay of the connection, and after it. */
    private static final int[] SURPLUS_DELAYS_MS = {0, 3, 60};

    /** Longer than the reuse delay of a connection. */
    private static final long SETTLING_MS = 60;

    private static final int OK = 200;
    private static final String CHUNKED_RESPONSE =
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Sum: 1\r\n\r\n";
    private static final String REJECTION =
            HttpMessages.response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "queue full");

    /** What follows a complete response. */
    enum Surplus {
        HALF_STATUS_LINE(HttpMessages.ok("x"), "HTTP/1.1 200 "),
        HALF_STATUS_LINE_BEHIND_CHUNKS(CHUNKED_RESPONSE, "HTTP/1.1 200 "),
        HALF_STATUS_LINE_BEHIND_AN_INFORMATIONAL_RESPONSE(
                "HTTP/1.1 102 Processing\r\n\r\n" + HttpMessages.ok("x"), "HTTP/1.1 200 "),
        ONE_CHARACTER(HttpMessages.ok("x"), "H"),
        HALF_INFORMATIONAL_STATUS_LINE(HttpMessages.ok("x"), "HTTP/1.1 100 "),
        INFORMATIONAL_RESPONSE(HttpMessages.ok("x"), "HTTP/1.1 100 Continue\r\n\r\n"),
        HALF_HEAD(HttpMessages.ok("x"), "HTTP/1.1 200 OK\r\nX-Note: "),
        HALF_BODY(HttpMessages.ok("x"), "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\nhalf"),
        HALF_CHUNK(HttpMessages.ok("x"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n100\r\nhalf"),
        HALF_TRAILER(HttpMessages.ok("x"), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-Sum: "),
        SECOND_TRAILER(CHUNKED_RESPONSE, "X-Sum: 2\r\n\r\n"),
        LINE_BREAK(HttpMessages.ok("x"), "\r\n"),
        BYTES_BEYOND_THE_LENGTH(HttpMessages.ok("x"), "xyz");

        private final String response;
        private final String surplus;

        Surplus(String response, String surplus) {
            this.response = response;
            this.surplus = surplus;
        }
    }

    /** A request that arrived at the endpoint, and its connection. */
    private record Arrival(String requestId, Socket connection) {}

    private final List<Arrival> arrivals = new ArrayList<>();
    private final AtomicInteger requestCount = new AtomicInteger();
    private final Semaphore surplusWritten = new Semaphore(0);

    @TempDir
    Path folder;

    private volatile Surplus surplus;
    private volatile int surplusDelayMs;
    private ScriptedHttpServer endpoint;
    private StandInDiscovery discovery;
    private ProxyProcess node;

    @BeforeEach
    void startNode() throws Exception {
        endpoint = new ScriptedHttpServer(this::respond);
        EndpointListHistory history = new EndpointListHistory();
        history.add("e1", endpoint.endpoint());
        discovery = new StandInDiscovery(history, call -> Fault.NONE);
        node = new ProxyProcess(folder, 1, history.completeList(0, true), discovery.address());
        node.awaitListening();
    }

    @AfterEach
    void stopNode() throws IOException {
        node.close();
        discovery.close();
        endpoint.close();
    }

    private void respond(HttpMessages.Message request, ScriptedHttpServer.Peer peer) throws IOException {
        String requestId = request.headers().get("x-txn");
        synchronized (arrivals) {
            arrivals.add(new Arrival(requestId, peer.socket()));
        }
        if (requestId.startsWith("rejected")) {
            peer.write(REJECTION);
        } else if (requestId.startsWith("plain")) {
            peer.write(HttpMessages.ok("x"));
        } else if (requestId.startsWith("bare")) {
            peer.write(surplus.response);
        } else if (surplusDelayMs == 0) {
            peer.write(surplus.response + surplus.surplus);
            surplusWritten.release();
        } else {
            peer.write(surplus.response);
            sleep(surplusDelayMs);
            peer.write(surplus.surplus);
            surplusWritten.release();
        }
    }

    private static void sleep(long durationMs) throws IOException {
        try {
            Thread.sleep(durationMs);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    private HttpMessages.Message ask(String idPrefix) throws IOException {
        String request = HttpMessages.order(idPrefix + "-" + requestCount.incrementAndGet(), "2000m");
        try (Socket client =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return HttpMessages.read(client.getInputStream());
        }
    }

    /** Returns the connections on which the last request with this prefix arrived, one for each attempt. */
    private List<Socket> connectionsOf(String idPrefix) {
        String requestId = idPrefix + "-" + requestCount.get();
        synchronized (arrivals) {
            return arrivals.stream()
                    .filter(arrival -> arrival.requestId.equals(requestId))
                    .map(Arrival::connection)
                    .toList();
        }
    }

    private void awaitLease() throws IOException {
        while (ask("plain").status() != OK) {
            sleep(1);
        }
    }

    @ParameterizedTest
    @EnumSource(Surplus.class)
    void rejectionBehindSurplusInputIsNotReportedAsServed(Surplus kind) throws Exception {
        awaitLease();
        surplus = kind;
        for (int delayMs : SURPLUS_DELAYS_MS) {
            surplusDelayMs = delayMs;
            assertEquals(OK, ask("surplus").status(), "the response before the surplus input is complete");
            List<Socket> used = connectionsOf("surplus");
            // Surplus input behind the next request could not be told from the beginning of its response.
            surplusWritten.acquire();
            sleep(SETTLING_MS);
            HttpMessages.Message next = ask("rejected");
            assertNotEquals(OK, next.status(), "no endpoint has executed the order: " + next);
            List<Socket> usedNext = connectionsOf("rejected");
            assertFalse(usedNext.isEmpty(), "the order has not arrived at the endpoint: " + next);
            assertTrue(
                    Collections.disjoint(used, usedNext),
                    "used again although it carried surplus input, " + delayMs + " ms after the response");
        }
    }

    @ParameterizedTest
    @EnumSource(Surplus.class)
    void connectionIsUsedAgainAfterTheSameResponseWithoutSurplusInput(Surplus kind) throws Exception {
        awaitLease();
        surplus = kind;
        assertEquals(OK, ask("bare").status());
        List<Socket> used = connectionsOf("bare");
        sleep(SETTLING_MS);
        assertEquals(OK, ask("plain").status());
        assertEquals(used, connectionsOf("plain"));
    }
}

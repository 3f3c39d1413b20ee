package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import loadbalancer.faultinjection.StandInDiscovery.Fault;
import loadbalancer.testsupport.HttpMessages;

/** Guards against requests that a node forwards, or executes twice, after their clients have disconnected. */
@Timeout(60)
class DisconnectedClientTest {
    /** The time that the protocol allows between the close of a client and the last attempt for it. */
    private static final long ALLOWED_AFTER_CLOSE_MS = 100;

    private static final long CONNECTED_MS = 100;
    /** Long enough for three attempts that are held, each followed by those of the next request. */
    private static final long OBSERVED_MS = 2_000;

    private static final int ANSWER_TIMEOUT_MS = 3_000;
    private static final long LOG_LIMIT_INTERVAL_MS = 1_100;
    private static final String REMAINING = "2000m";
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int REJECTED = 503;

    /** What a client sends before it disconnects. The first request is under way at an endpoint by then. */
    enum Departure {
        /** As many requests as showed two late ones on a connection in the records of the incident. */
        PIPELINED_REQUESTS {
            @Override
            String input() {
                return requests(19);
            }
        },
        /** A reset instead of a close. */
        PIPELINED_REQUESTS_RESET {
            @Override
            String input() {
                return requests(19);
            }

            @Override
            void leave(SocketChannel client) throws IOException {
                client.socket().setSoLinger(true, 0);
                client.close();
            }
        },
        PIPELINED_BODIES {
            @Override
            String input() {
                String body = "b".repeat(40_000);
                return requests(1)
                        + HttpMessages.order("late-a", REMAINING, body).repeat(4);
            }
        },
        /** More bytes than the buffers of the sockets hold. */
        MANY_REQUESTS {
            @Override
            String input() {
                return requests(60_000);
            }
        },
        SINGLE_REQUEST_RESET {
            @Override
            String input() {
                return requests(1);
            }

            @Override
            void leave(SocketChannel client) throws IOException {
                PIPELINED_REQUESTS_RESET.leave(client);
            }
        },
        INCOMPLETE_REQUEST_BEHIND {
            @Override
            String input() {
                String chunked = HttpMessages.order("late-chunked", REMAINING, "")
                        .replace("Content-Length: 0", "Transfer-Encoding: chunked");
                return requests(1) + chunked + ("1;" + "e".repeat(3_900) + "\r\nx\r\n").repeat(100);
            }
        },
        INVALID_REQUEST_BEHIND {
            @Override
            String input() {
                return requests(18) + "NOT A REQUEST\r\n\r\n" + "x".repeat(3_000_000);
            }
        },
        /** Nothing behind the last request of a connection is served, but the end of the stream may be there. */
        BYTES_BEHIND_THE_LAST_REQUEST {
            @Override
            String input() {
                String last = requests(1).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                return last + requests(5_000);
            }
        },
        /** The node is suspended while the client connects and disconnects, as on a busy machine. */
        SUSPENDED_NODE {
            @Override
            String input() {
                return requests(19);
            }

            @Override
            boolean suspendsNode() {
                return true;
            }
        },
        /** The node shuts down gracefully, and serves open connections for a while. */
        SHUTDOWN {
            @Override
            String input() {
                return requests(19);
            }

            @Override
            boolean terminatesNode() {
                return true;
            }
        };

        abstract String input();

        void leave(SocketChannel client) throws IOException {
            client.close();
        }

        boolean suspendsNode() {
            return false;
        }

        boolean terminatesNode() {
            return false;
        }

        static String requests(int count) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < count; i++) {
                requests.append(HttpMessages.page("/api/page", "late-" + i, REMAINING));
            }
            return requests.toString();
        }
    }

    @TempDir
    Path folder;

    private HoldingUpstream first;
    private HoldingUpstream second;
    private StandInDiscovery discovery;
    private ProxyProcess node;

    @BeforeEach
    void startNode() throws Exception {
        first = new HoldingUpstream();
        second = new HoldingUpstream();
        EndpointListHistory history = new EndpointListHistory();
        history.add("e1", first.address());
        history.add("e2", second.address());
        discovery = new StandInDiscovery(history, call -> Fault.NONE);
        node = new ProxyProcess(folder, 1, history.completeList(0, true), discovery.address());
        node.awaitListening();
        awaitServed();
    }

    @AfterEach
    void stopNode() throws IOException {
        node.close();
        discovery.close();
        first.close();
        second.close();
    }

    /** Waits until the node has its lease on the endpoint list and serves requests. */
    private void awaitServed() throws Exception {
        int status = REJECTED;
        for (int i = 0; status == REJECTED; i++) {
            status = ask(HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + i, REMAINING));
        }
        assertEquals(OK, status);
    }

    private int ask(String request) throws IOException {
        try (Socket client =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            client.setSoTimeout(ANSWER_TIMEOUT_MS);
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return HttpMessages.read(client.getInputStream()).status();
        }
    }

    private List<HoldingUpstream.Arrival> arrivals(String idPrefix) {
        return Stream.concat(first.arrivals().stream(), second.arrivals().stream())
                .filter(arrival -> arrival.requestId().startsWith(idPrefix))
                .toList();
    }

    /** Writes what the socket takes until the client leaves. A client that leaves does not wait for the rest. */
    private static void writeUntil(long endNanos, SocketChannel client, String input) throws Exception {
        client.configureBlocking(false);
        ByteBuffer bytes = ByteBuffer.wrap(input.getBytes(StandardCharsets.ISO_8859_1));
        while (System.nanoTime() < endNanos) {
            client.write(bytes);
            Thread.sleep(1);
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void nothingIsForwardedAfterTheClientHasDisconnected(Departure departure) throws Exception {
        if (departure.terminatesNode()) {
            node.signal("TERM");
        }
        if (departure.suspendsNode()) {
            node.signal("STOP");
        }
        SocketChannel client = SocketChannel.open(node.address());
        writeUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECTED_MS), client, departure.input());
        departure.leave(client);
        long leftAtNanos = System.nanoTime();
        if (departure.suspendsNode()) {
            node.signal("CONT");
        }
        Thread.sleep(OBSERVED_MS);
        List<String> late = arrivals("late-").stream()
                .filter(arrival -> afterMs(leftAtNanos, arrival) > ALLOWED_AFTER_CLOSE_MS)
                .map(arrival -> arrival.requestId() + " " + afterMs(leftAtNanos, arrival) + " ms after the close")
                .toList();
        assertEquals(List.of(), late, node.log());
        if (!departure.terminatesNode()) {
            String next = HoldingUpstream.SERVED_PREFIX + "next";
            assertEquals(OK, ask(HttpMessages.page("/api/page", next, REMAINING)), node.log());
        }
    }

    private static long afterMs(long leftAtNanos, HoldingUpstream.Arrival arrival) {
        return TimeUnit.NANOSECONDS.toMillis(arrival.atNanos() - leftAtNanos);
    }

    /** Without this, the records of the incident did not tell which requests shared a connection. */
    @Test
    void logNamesTheConnectionOfEachRequest() throws Exception {
        // The lines of the start-up warm-up use up what a second may have.
        Thread.sleep(LOG_LIMIT_INTERVAL_MS);
        String address;
        try (Socket client =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            address = "client=/127.0.0.1:" + client.getLocalPort();
            String input = HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + "one", REMAINING)
                    + HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + "two", REMAINING);
            client.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            HttpMessages.read(client.getInputStream());
            HttpMessages.read(client.getInputStream());
        }
        awaitLogged("event=attempt_started", "request=served-one " + address);
        awaitLogged("event=response", "request=served-two " + address);
        awaitLogged("event=client_connection_closed", address + " reason=\"client disconnected\"");
    }

    private void awaitLogged(String event, String fields) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(OBSERVED_MS);
        while (node.log().lines().noneMatch(line -> line.startsWith(event) && line.contains(fields))) {
            assertTrue(System.nanoTime() < deadlineNanos, event + " with " + fields + " is not in\n" + node.log());
            Thread.sleep(1);
        }
    }

    /** The id of a request that may have been executed comes again, while an endpoint has it and after it has responded. */
    @Test
    void returningIdOfANonIdempotentRequestIsNotExecutedTwice() throws Exception {
        String id = HoldingUpstream.EXECUTED_PREFIX + "order";
        leaveAfterSending(HttpMessages.order(id, REMAINING));
        int whileHeld = ask(HttpMessages.order(id, REMAINING));
        Thread.sleep(1_000);
        int afterwards = ask(HttpMessages.order(id, REMAINING));
        assertEquals(1, arrivals(id).size(), "executions");
        for (int status : new int[] {whileHeld, afterwards}) {
            assertNotEquals(OK, status);
            assertNotEquals(REJECTED, status, "a rejection would promise that the request was not executed");
        }
    }

    /** The response was sent, but its client has left and may not have read it. */
    @Test
    void returningIdOfAnExecutedRequestIsNotExecutedAgainAfterItsClientHasDisconnected() throws Exception {
        String id = HoldingUpstream.SERVED_PREFIX + "order";
        assertEquals(OK, ask(HttpMessages.order(id, REMAINING)));
        Thread.sleep(CONNECTED_MS);
        assertEquals(BAD_REQUEST, ask(HttpMessages.order(id, REMAINING)));
        assertEquals(1, arrivals(id).size(), "executions");
    }

    /** A request that waits behind another one was not executed, so that it may come again. */
    @Test
    void returningIdOfARequestThatWasNeverForwardedIsExecutedOnce() throws Exception {
        String id = HoldingUpstream.EXECUTED_PREFIX + "order";
        leaveAfterSending(Departure.requests(1) + HttpMessages.order(id, REMAINING) + Departure.requests(17));
        assertEquals(OK, ask(HttpMessages.order(id, REMAINING)));
        Thread.sleep(OBSERVED_MS);
        assertEquals(1, arrivals(id).size(), "executions");
    }

    private void leaveAfterSending(String input) throws Exception {
        try (Socket client =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            client.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(CONNECTED_MS);
        }
    }

    /** Requests behind one whose id is refused are valid, and have been read. */
    @Test
    void requestsBehindARefusedIdGetResponses() throws Exception {
        String id = HoldingUpstream.EXECUTED_PREFIX + "order";
        leaveAfterSending(HttpMessages.order(id, REMAINING));
        try (Socket client =
                new Socket(node.address().getAddress(), node.address().getPort())) {
            client.setSoTimeout(ANSWER_TIMEOUT_MS);
            String served = HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + "behind", REMAINING);
            String input = HttpMessages.order(id, REMAINING) + served;
            client.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(BAD_REQUEST, HttpMessages.read(client.getInputStream()).status());
            assertEquals(OK, HttpMessages.read(client.getInputStream()).status());
        }
    }
}

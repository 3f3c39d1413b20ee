package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import loadbalancer.testsupport.HttpMessages;

/** Guards against non-idempotent requests that are executed again because their ids come again. */
@Timeout(60)
class ReturningTransactionIdTest {
    private static final long CONNECTED_MS = 100;
    private static final long OBSERVED_MS = 2_000;
    private static final long LOG_LIMIT_INTERVAL_MS = 1_100;
    private static final int OK = 200;
    private static final int BAD_REQUEST = 400;
    private static final int REJECTED = 503;

    @TempDir
    Path folder;

    private HoldingNode node;

    @BeforeEach
    void startNode() throws Exception {
        node = new HoldingNode(folder);
    }

    @AfterEach
    void stopNode() throws IOException {
        node.close();
    }

    /** The second request was sent before the response to the first one was read. */
    @Test
    void idThatComesTwiceOnAConnectionIsExecutedOnce() throws Exception {
        String id = HoldingUpstream.SERVED_PREFIX + "order";
        try (Socket client = node.connect()) {
            String order = HttpMessages.order(id, HoldingNode.REMAINING);
            client.getOutputStream().write((order + order).getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(OK, HttpMessages.read(client.getInputStream()).status());
            assertEquals(BAD_REQUEST, HttpMessages.read(client.getInputStream()).status());
        }
        assertEquals(1, node.arrivals(id).size(), "executions");
    }

    /** After the last response of a connection, the end of the stream may be behind bytes that are left unread. */
    @Test
    void returningIdIsNotExecutedAgainWhileTheConnectionOfItsClientCloses() throws Exception {
        String id = HoldingUpstream.SERVED_PREFIX + "order";
        String order = HttpMessages.order(id, HoldingNode.REMAINING);
        try (Socket client = node.connect()) {
            String last = order.replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
            client.getOutputStream().write(last.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(OK, HttpMessages.read(client.getInputStream()).status());
            client.getOutputStream().write('x');
        }
        Thread.sleep(CONNECTED_MS);
        assertEquals(BAD_REQUEST, node.ask(order));
        assertEquals(1, node.arrivals(id).size(), "executions");
    }

    /** The id of a request that may have been executed comes again, while an endpoint has it and after it has responded. */
    @Test
    void returningIdOfANonIdempotentRequestIsNotExecutedTwice() throws Exception {
        String id = HoldingUpstream.EXECUTED_PREFIX + "order";
        leaveAfterSending(HttpMessages.order(id, HoldingNode.REMAINING));
        int whileHeld = node.ask(HttpMessages.order(id, HoldingNode.REMAINING));
        Thread.sleep(1_000);
        int afterwards = node.ask(HttpMessages.order(id, HoldingNode.REMAINING));
        assertEquals(1, node.arrivals(id).size(), "executions");
        for (int status : new int[] {whileHeld, afterwards}) {
            assertNotEquals(OK, status);
            assertNotEquals(REJECTED, status, "a rejection would promise that the request was not executed");
        }
    }

    /** The response was sent, but its client has left and may not have read it. */
    @Test
    void returningIdOfAnExecutedRequestIsNotExecutedAgainAfterItsClientHasDisconnected() throws Exception {
        String id = HoldingUpstream.SERVED_PREFIX + "order";
        assertEquals(OK, node.ask(HttpMessages.order(id, HoldingNode.REMAINING)));
        Thread.sleep(CONNECTED_MS);
        assertEquals(BAD_REQUEST, node.ask(HttpMessages.order(id, HoldingNode.REMAINING)));
        assertEquals(1, node.arrivals(id).size(), "executions");
    }

    /** A request that waits behind another one was not executed, so that it may come again. */
    @Test
    void returningIdOfARequestThatWasNeverForwardedIsExecutedOnce() throws Exception {
        String id = HoldingUpstream.EXECUTED_PREFIX + "order";
        leaveAfterSending(DisconnectedClientTest.Departure.requests(1)
                + HttpMessages.order(id, HoldingNode.REMAINING)
                + DisconnectedClientTest.Departure.requests(17));
        assertEquals(OK, node.ask(HttpMessages.order(id, HoldingNode.REMAINING)));
        Thread.sleep(OBSERVED_MS);
        assertEquals(1, node.arrivals(id).size(), "executions");
    }

    private void leaveAfterSending(String input) throws Exception {
        try (Socket client = node.connect()) {
            client.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            Thread.sleep(CONNECTED_MS);
        }
    }

    /** Requests behind one whose id is refused are valid, and have been read. */
    @Test
    void requestsBehindARefusedIdGetResponses() throws Exception {
        String id = HoldingUpstream.EXECUTED_PREFIX + "order";
        leaveAfterSending(HttpMessages.order(id, HoldingNode.REMAINING));
        try (Socket client = node.connect()) {
            String served =
                    HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + "behind", HoldingNode.REMAINING);
            String input = HttpMessages.order(id, HoldingNode.REMAINING) + served;
            client.getOutputStream().write(input.getBytes(StandardCharsets.ISO_8859_1));
            assertEquals(BAD_REQUEST, HttpMessages.read(client.getInputStream()).status());
            assertEquals(OK, HttpMessages.read(client.getInputStream()).status());
        }
    }

    /** Without this, the records of the incident did not tell which requests shared a connection. */
    @Test
    void logNamesTheConnectionOfEachRequest() throws Exception {
        // The lines of the start-up warm-up use up what a second may have.
        Thread.sleep(LOG_LIMIT_INTERVAL_MS);
        String address;
        try (Socket client = node.connect()) {
            address = "client=/127.0.0.1:" + client.getLocalPort();
            String input = HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + "one", HoldingNode.REMAINING)
                    + HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + "two", HoldingNode.REMAINING);
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
        while (node.process().log().lines().noneMatch(line -> line.startsWith(event) && line.contains(fields))) {
            assertTrue(
                    System.nanoTime() < deadlineNanos,
                    event + " with " + fields + " is not in\n" + node.process().log());
            Thread.sleep(1);
        }
    }
}

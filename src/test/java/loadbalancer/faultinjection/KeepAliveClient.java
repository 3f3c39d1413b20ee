package loadbalancer.faultinjection;

import java.io.IOException;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import loadbalancer.testsupport.HttpMessages;

/**
 * A client that sends one request after another on a connection, for as long as the connection stays open. If it closes
 * without a response, the request is sent once more on another connection.
 */
final class KeepAliveClient implements AutoCloseable {
    /** How a request ended for its client. */
    enum Ending {
        /** A final response arrived. */
        RESPONSE,
        /** The response to another request arrived. */
        FOREIGN_RESPONSE,
        /** The connection was closed without a response, twice. */
        CLOSED,
        /** No response arrived until half a second after the deadline. */
        NO_RESPONSE
    }

    /**
     * A request that was sent.
     *
     * @param status the status of the response, or 0
     * @param sentAtNanos when it was sent for the last time, in nanoseconds of the monotonic clock
     */
    record Result(String requestId, boolean isOrder, Ending ending, int status, long sentAtNanos) {}

    private static final int REMAINING_MS = 2_000;
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;
    private static final long PAUSE_MS = 10;
    private static final int MAX_SENDS = 2;
    private static final int CLASSES = 2;
    private static final int OK = 200;

    private final ReconnectingSocket socket;
    private final String name;
    private final Queue<Result> results = new ConcurrentLinkedQueue<>();
    private volatile boolean closed;

    KeepAliveClient(InetSocketAddress nodeAddress, String name) {
        socket = new ReconnectingSocket(nodeAddress);
        this.name = name;
        StandInThreads.start(this::run);
    }

    /** Returns the requests that have ended so far. */
    List<Result> results() {
        return new ArrayList<>(results);
    }

    private void run() throws InterruptedException {
        for (int i = 0; !closed; i++) {
            sendRequest(name + "-" + i, i % CLASSES == 0);
            Thread.sleep(PAUSE_MS);
        }
    }

    private void sendRequest(String id, boolean isOrder) throws InterruptedException {
        String remaining = REMAINING_MS + "m";
        String request = isOrder ? HttpMessages.order(id, remaining) : HttpMessages.page("/api/" + id, id, remaining);
        for (int send = 1; !closed; send++) {
            long sentAtNanos = System.nanoTime();
            try {
                HttpMessages.Message response = socket.ask(request, LOST_AFTER_MS);
                boolean isForeign = response.status() == OK && !response.body().equals(id);
                Ending ending = isForeign ? Ending.FOREIGN_RESPONSE : Ending.RESPONSE;
                results.add(new Result(id, isOrder, ending, response.status(), sentAtNanos));
                return;
            } catch (ConnectException e) {
                // The node does not listen any more, so that the request was not sent.
                socket.disconnect();
                return;
            } catch (SocketTimeoutException e) {
                results.add(new Result(id, isOrder, Ending.NO_RESPONSE, 0, sentAtNanos));
                socket.disconnect();
                return;
            } catch (IOException e) {
                socket.disconnect();
                if (send == MAX_SENDS) {
                    results.add(new Result(id, isOrder, Ending.CLOSED, 0, sentAtNanos));
                    return;
                }
            }
            Thread.sleep(PAUSE_MS);
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}

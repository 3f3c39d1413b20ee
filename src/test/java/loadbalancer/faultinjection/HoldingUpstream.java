package loadbalancer.faultinjection;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.TimeUnit;

import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * An endpoint that holds each request for a while and then rejects it, as an overloaded one does, so that the node
 * sends further attempts. It serves the requests of clients whose ids begin with {@link #SERVED_PREFIX} at once, and
 * those with {@link #EXECUTED_PREFIX} after the same time.
 */
final class HoldingUpstream implements AutoCloseable {
    /** A request that arrived completely, and when (nanoseconds of the monotonic clock). */
    record Arrival(String requestId, long atNanos) {}

    static final String SERVED_PREFIX = "served-";
    static final String EXECUTED_PREFIX = "executed-";

    private static final long HOLD_MS = 500;
    private static final String REJECTION = HttpMessages.response("503 Busy", "X-Turned-Away: 1\r\n", "");

    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final ScriptedHttpServer server = new ScriptedHttpServer(this::respond);

    HoldingUpstream() throws IOException {}

    private void respond(HttpMessages.Message request, ScriptedHttpServer.Peer peer) throws IOException {
        String requestId = request.headers().getOrDefault("x-txn", "");
        arrivals.add(new Arrival(requestId, System.nanoTime()));
        if (requestId.startsWith(SERVED_PREFIX)) {
            peer.write(HttpMessages.ok("x"));
            return;
        }
        hold();
        peer.write(requestId.startsWith(EXECUTED_PREFIX) ? HttpMessages.ok("x") : REJECTION);
    }

    private static void hold() throws IOException {
        try {
            TimeUnit.MILLISECONDS.sleep(HOLD_MS);
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    String address() {
        return server.endpoint();
    }

    List<Arrival> arrivals() {
        return new ArrayList<>(arrivals);
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The open watch falls silent, an app server begins to drain, and then discovery goes down for 8 s. What the watch has
 * missed counts as told 6 s after it fell silent, so the node must stop sending to that app server although discovery
 * refuses its calls.
 */
public final class Case8 {
    private static final int SERVERS = 3;
    private static final int DRAINING_SERVER = 0;
    private static final int CLIENTS = 6;
    private static final int THINK_MS = 40;
    private static final int CLIENT_TIMEOUT_MS = 1_500;
    private static final int QUIET_MS = 5_000;
    private static final int DRAIN_AFTER_SILENCE_MS = 300;
    private static final int DOWN_AFTER_DRAIN_MS = 1_200;
    private static final int DOWN_MS = 8_000;
    private static final int AFTER_RETURN_MS = 4_000;
    /** What a silent watch misses counts as told 6 s later; here counted from the drain, which is later still. */
    private static final double TOLD_AFTER_S = 6;
    /** The grace of the settings, and the 50 ms by which each limit is longer on sockets. */
    private static final double GRACE_S = 0.55;

    private static final AtomicInteger LAST_ID = new AtomicInteger();

    private static Journal journal;
    private static volatile double drainingSince = Double.MAX_VALUE;
    private static final AtomicInteger BREAKS = new AtomicInteger();

    private Case8() {}

    public static void main(String[] args) {
        Case.run(args, Case8::run);
    }

    private static int run(Journal newJournal, boolean hasTrouble) throws Exception {
        journal = newJournal;
        Discovery discovery = new Discovery();
        List<Integer> ports = new ArrayList<>();
        for (int i = 0; i < SERVERS; i++) {
            boolean isDraining = i == DRAINING_SERVER;
            String uid = "s-" + i;
            ports.add(Http.listen(socket -> serve(uid, isDraining, socket)).getLocalPort());
            discovery.put(uid, ports.get(i), "Ready", 0);
        }
        try (Node node = new Node(discovery, Settings.RIGA_RIDES)) {
            node.awaitReady();
            for (int i = 0; i < CLIENTS; i++) {
                int seed = i;
                Http.thread(() -> send(node, new Random(seed)));
            }
            Thread.sleep(QUIET_MS);
            discovery.awaitHeartbeat();
            if (hasTrouble) {
                discovery.silenceWatches();
                journal.write("discovery has written a blank line; now the open watch falls silent");
            }
            Thread.sleep(DRAIN_AFTER_SILENCE_MS);
            discovery.put("s-" + DRAINING_SERVER, ports.get(DRAINING_SERVER), "Terminating", 0);
            drainingSince = journal.seconds();
            journal.write("discovery has that s-" + DRAINING_SERVER + " drains, and answers new calls");
            Thread.sleep(DOWN_AFTER_DRAIN_MS);
            if (hasTrouble) {
                discovery.goDown();
                journal.write("discovery is down");
            }
            Thread.sleep(DOWN_MS);
            if (hasTrouble) {
                discovery.comeBack();
                journal.write("discovery is back");
            }
            Thread.sleep(AFTER_RETURN_MS);
            if (!node.isAlive()) {
                journal.write("the node has ended");
                BREAKS.incrementAndGet();
            }
        }
        return BREAKS.get();
    }

    private static void serve(String uid, boolean drains, Socket socket) throws Exception {
        InputStream in = Http.input(socket);
        while (true) {
            in.mark(1);
            if (in.read() < 0) {
                return;
            }
            double firstByteAt = journal.seconds();
            in.reset();
            Http.Message request = Http.read(in);
            boolean isBroken = drains && firstByteAt > drainingSince + TOLD_AFTER_S + GRACE_S;
            BREAKS.addAndGet(isBroken ? 1 : 0);
            journal.write(uid + " runs " + request.header("X-Txn")
                    + (drains && firstByteAt > drainingSince
                            ? " %.2f s after its drain%s".formatted(firstByteAt - drainingSince, isBroken ? " BROKEN" : "")
                            : ""));
            Http.write(socket, Http.response("200 OK", "", uid + " ran " + request.header("X-Txn")));
        }
    }

    private static void send(Node node, Random random) throws Exception {
        while (true) {
            try (Socket socket = Http.connect(node.port)) {
                socket.setSoTimeout(CLIENT_TIMEOUT_MS + 500);
                InputStream in = Http.input(socket);
                Http.Message answer = null;
                do {
                    Thread.sleep(1 + random.nextInt(2 * THINK_MS));
                    String id = String.format("%016x", LAST_ID.incrementAndGet());
                    boolean isPayment = random.nextBoolean();
                    journal.write("client sends " + (isPayment ? "pay " : "search ") + id);
                    Http.write(socket, (isPayment ? "POST" : "GET") + " /api/k" + random.nextInt(100) + " HTTP/1.1\r\n"
                            + "Host: backend.local\r\nX-Txn: " + id + "\r\nX-Org: vidzeme-brauc\r\nX-Lane: " + (isPayment ? "pay" : "search")
                            + "\r\nX-Remaining: " + CLIENT_TIMEOUT_MS + "m\r\n"
                            + (isPayment ? "Content-Length: 4\r\n\r\nbody" : "\r\n"));
                    answer = Http.read(in);
                    if (answer == null) {
                        throw new EOFException("closed");
                    }
                    journal.write("client gets " + answer.status() + " for " + id);
                } while (!"close".equalsIgnoreCase(answer.header("Connection")));
            } catch (SocketException | EOFException e) {
                // It connects again.
            } catch (IOException e) {
                journal.write("client gets no answer in time");
            }
        }
    }
}

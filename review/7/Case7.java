import java.io.BufferedInputStream;
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
 * Clients rest for about as long as the node lets them, then send the next request on the same connection. Beside them, a
 * few clients send many requests at once. The node may close a resting connection, but then it must not have read a
 * request on it.
 */
public final class Case7 {
    private static final int SERVERS = 4;
    private static final int RESTING_CLIENTS = 150;
    private static final int PIPELINING_CLIENTS = 6;
    private static final int REQUESTS_AT_ONCE = 100;
    private static final int DURATION_S = 92;
    private static final int CLIENT_TIMEOUT_MS = 1_500;
    /** The node closes a resting connection 5 to 5.2 s after the last answer; clients rest for up to that time. */
    private static final int MIN_REST_MS = 5_000;

    private static final int MAX_REST_MS = 5_190;
    /** The node closes its socket 1 s after it has shut down its output. */
    private static final int WAIT_FOR_RESET_MS = 1_700;

    private static final AtomicInteger LAST_ID = new AtomicInteger();

    private static Journal journal;

    private Case7() {}

    public static void main(String[] args) {
        Case.run(args, Case7::run);
    }

    private static int run(Journal newJournal, boolean hasTrouble) throws Exception {
        journal = newJournal;
        Discovery discovery = new Discovery();
        for (int i = 0; i < SERVERS; i++) {
            String uid = "s-" + i;
            discovery.put(uid, Http.listen(socket -> serve(uid, socket)).getLocalPort(), "Ready", 0);
        }
        AtomicInteger breaks = new AtomicInteger();
        AtomicInteger pipelined = new AtomicInteger();
        try (Node node = new Node(discovery, Settings.RIGA_RIDES)) {
            node.awaitReady();
            double endsAt = journal.seconds() + DURATION_S;
            for (int i = 0; hasTrouble && i < PIPELINING_CLIENTS; i++) {
                Http.thread(() -> sendManyAtOnce(node, endsAt, pipelined));
            }
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < RESTING_CLIENTS; i++) {
                int seed = i;
                clients.add(Http.thread(() -> sendAndRest(node, new Random(seed), endsAt, breaks)));
            }
            for (Thread client : clients) {
                client.join();
            }
            journal.write("clients that send many requests at once got " + pipelined + " answers");
            if (!node.isAlive()) {
                journal.write("the node has ended");
                breaks.incrementAndGet();
            }
        }
        return breaks.get();
    }

    private static void serve(String uid, Socket socket) throws Exception {
        InputStream in = Http.input(socket);
        Http.Message request;
        while ((request = Http.read(in)) != null) {
            journal.write(uid + " runs " + request.header("X-Txn"));
            Http.write(socket, Http.response("200 OK", "", uid + " ran " + request.header("X-Txn")));
        }
    }

    private static void sendManyAtOnce(Node node, double endsAt, AtomicInteger answers) throws Exception {
        String requests = "GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n".repeat(REQUESTS_AT_ONCE);
        while (journal.seconds() < endsAt) {
            try (Socket socket = Http.connect(node.port)) {
                InputStream in = new BufferedInputStream(socket.getInputStream(), 1 << 16);
                while (journal.seconds() < endsAt) {
                    Http.write(socket, requests);
                    for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
                        if (Http.read(in) == null) {
                            throw new EOFException("closed");
                        }
                        answers.incrementAndGet();
                    }
                }
            } catch (IOException e) {
                // It connects again.
            }
        }
    }

    private static void sendAndRest(Node node, Random random, double endsAt, AtomicInteger breaks) throws Exception {
        Socket socket = null;
        boolean isFirst = true;
        while (journal.seconds() < endsAt) {
            if (socket == null) {
                Thread.sleep(random.nextInt(1_000));
                socket = Http.connect(node.port);
                socket.setSoTimeout(CLIENT_TIMEOUT_MS + 500);
                isFirst = true;
            }
            String id = String.format("%016x", LAST_ID.incrementAndGet());
            boolean isPayment = random.nextBoolean();
            String request = (isPayment ? "POST" : "GET") + " /api/k" + random.nextInt(100) + " HTTP/1.1\r\n"
                    + "Host: backend.local\r\nX-Txn: " + id + "\r\nX-Org: vidzeme-brauc\r\nX-Lane: " + (isPayment ? "pay" : "search")
                    + "\r\nX-Remaining: " + CLIENT_TIMEOUT_MS + "m\r\n"
                    + (isPayment ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
            String name = (isPayment ? "pay " : "search ") + id;
            journal.write("client sends " + name + (isFirst ? "" : " after a rest"));
            boolean isKept = false;
            try {
                Http.write(socket, request);
                Http.Message answer = Http.read(Http.input(socket));
                if (answer == null) {
                    boolean isRead = !isReset(socket);
                    journal.write("client's connection is closed at " + name + ", and the request was "
                            + (isRead ? "read. BROKEN: read, and no answer" : "not read"));
                    breaks.addAndGet(isRead ? 1 : 0);
                } else {
                    journal.write("client gets " + answer.status() + " for " + name);
                    isKept = !"close".equalsIgnoreCase(answer.header("Connection"));
                }
            } catch (SocketException | EOFException e) {
                journal.write("client's connection is reset at " + name + ": the request was not read");
            } catch (IOException e) {
                journal.write("client gets no answer to " + name + " in time: BROKEN");
                breaks.incrementAndGet();
            }
            isFirst = false;
            if (isKept) {
                Thread.sleep(MIN_REST_MS + random.nextInt(MAX_REST_MS - MIN_REST_MS));
                isKept = !isClosedByNode(socket);
            }
            if (!isKept) {
                socket.close();
                socket = null;
            }
        }
    }

    /** Returns whether the node has closed the connection, as the client sees it before it sends on it. */
    private static boolean isClosedByNode(Socket socket) throws IOException {
        try {
            socket.setSoTimeout(1);
            return socket.getInputStream().read() < 0;
        } catch (java.net.SocketTimeoutException e) {
            return false;
        } catch (SocketException e) {
            return true;
        } finally {
            socket.setSoTimeout(CLIENT_TIMEOUT_MS + 500);
        }
    }

    /**
     * Returns whether the connection is reset soon after the node has shut down its output. A close over bytes that the
     * node has not read resets the connection, and one over bytes that it has read does not.
     */
    private static boolean isReset(Socket socket) throws InterruptedException {
        Thread.sleep(WAIT_FOR_RESET_MS);
        try {
            socket.getOutputStream().write(' ');
            return false;
        } catch (IOException e) {
            return true;
        }
    }
}

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Some answers of an app server are followed, some milliseconds later, by the first half line of a second answer. The
 * next request on that connection is turned away. Its client must not be told that it was served.
 */
public final class Case6 {
    private static final int SERVERS = 3;
    private static final int CLIENTS = 8;
    private static final int DURATION_S = 30;
    /** One of so many answers is followed by half a line. */
    private static final int ANSWERS_PER_HALF_LINE = 20;
    /** One of so many requests is turned away, with or without the disruption. */
    private static final int REQUESTS_PER_TURNED_AWAY = 10;

    private static final int SECOND_ANSWER_AFTER_MS = 3;
    private static final int WORK_MS = 10;
    private static final int THINK_MS = 40;
    private static final int CLIENT_TIMEOUT_MS = 1_500;
    private static final String HALF_LINE = "HTTP/1.1 200 ";

    private static final AtomicInteger LAST_ID = new AtomicInteger();
    /** The bodies of the 200 answers of app servers, by the id of their request. */
    private static final Map<String, List<String>> SERVED = new ConcurrentHashMap<>();

    private static Journal journal;
    private static boolean hasTrouble;

    private Case6() {}

    public static void main(String[] args) {
        Case.run(args, Case6::run);
    }

    private static int run(Journal newJournal, boolean trouble) throws Exception {
        journal = newJournal;
        hasTrouble = trouble;
        Discovery discovery = new Discovery();
        for (int i = 0; i < SERVERS; i++) {
            String uid = "s-" + i;
            discovery.put(uid, Http.listen(socket -> serve(uid, socket)).getLocalPort(), "Ready", 0);
        }
        AtomicInteger breaks = new AtomicInteger();
        try (Node node = new Node(discovery, Settings.RIGA_RIDES)) {
            node.awaitReady();
            double endsAt = journal.seconds() + DURATION_S;
            List<Thread> clients = new ArrayList<>();
            for (int i = 0; i < CLIENTS; i++) {
                int seed = i;
                clients.add(Http.thread(() -> send(node, new Random(seed), endsAt, breaks)));
            }
            for (Thread client : clients) {
                client.join();
            }
            if (!node.isAlive()) {
                journal.write("the node has ended");
                breaks.incrementAndGet();
            }
        }
        return breaks.get();
    }

    private static void serve(String uid, Socket socket) throws Exception {
        InputStream in = Http.input(socket);
        Random random = new Random();
        Http.Message request;
        while ((request = Http.read(in)) != null) {
            String id = request.header("X-Txn");
            if (random.nextInt(REQUESTS_PER_TURNED_AWAY) == 0) {
                journal.write(uid + " turned away " + id);
                Http.write(socket, Http.response("503 Service Unavailable", "X-Turned-Away: 1\r\n", "queue full at " + uid));
                continue;
            }
            Thread.sleep(WORK_MS);
            String body = uid + " ran " + id;
            SERVED.computeIfAbsent(id, newId -> new ArrayList<>()).add(body);
            journal.write(body);
            Http.write(socket, Http.response("200 OK", "", body));
            if (hasTrouble && random.nextInt(ANSWERS_PER_HALF_LINE) == 0) {
                Thread.sleep(SECOND_ANSWER_AFTER_MS);
                journal.write(uid + " begins a second answer to " + id);
                Http.write(socket, HALF_LINE);
            }
        }
    }

    private static void send(Node node, Random random, double endsAt, AtomicInteger breaks) throws Exception {
        Socket socket = null;
        while (journal.seconds() < endsAt) {
            Thread.sleep(1 + random.nextInt(2 * THINK_MS));
            if (socket == null) {
                socket = Http.connect(node.port);
                socket.setSoTimeout(CLIENT_TIMEOUT_MS + 500);
            }
            String id = String.format("%016x", LAST_ID.incrementAndGet());
            boolean isPayment = random.nextBoolean();
            String request = (isPayment ? "POST" : "GET") + " /api/k" + random.nextInt(100) + " HTTP/1.1\r\n"
                    + "Host: backend.local\r\nX-Txn: " + id + "\r\nX-Org: vidzeme-brauc\r\nX-Lane: " + (isPayment ? "pay" : "search")
                    + "\r\nX-Remaining: " + CLIENT_TIMEOUT_MS + "m\r\n"
                    + (isPayment ? "Content-Length: 4\r\n\r\nbody" : "\r\n");
            journal.write("client sends " + (isPayment ? "pay " : "search ") + id);
            try {
                Http.write(socket, request);
                Http.Message answer = Http.read(Http.input(socket));
                if (answer == null) {
                    throw new EOFException("closed without an answer");
                }
                boolean isBroken = answer.status() == 200
                        && !SERVED.getOrDefault(id, List.of()).contains(answer.body());
                journal.write("client gets " + answer.status() + " for " + id
                        + (answer.status() == 200 ? ": " + answer.body() : "")
                        + (isBroken ? " BROKEN: no app server made this answer for it" : ""));
                breaks.addAndGet(isBroken ? 1 : 0);
                if ("close".equalsIgnoreCase(answer.header("Connection"))) {
                    socket.close();
                    socket = null;
                }
            } catch (SocketException | EOFException e) {
                journal.write("client's connection ended at " + id + ": " + e.getMessage());
                socket.close();
                socket = null;
            } catch (IOException e) {
                journal.write("client got no answer to " + id + " BROKEN: " + e.getMessage());
                breaks.incrementAndGet();
                socket.close();
                socket = null;
            }
        }
    }
}

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Requests with an idempotency key. The first attempt begins to run, and its connection is reset late in the window; the
 * connection for the second attempt comes up late. No attempt may be sent after the window of the first one.
 */
final class LateConnection {
    private static final double WINDOW_S = 5.0;
    /** "On sockets every time limit is 50 ms longer." */
    private static final double SLACK_S = 0.05;

    private static final double RESET_AFTER_S = 4.6;
    private static final int APP_SERVERS = 4;
    private static final int ROUNDS = 3;
    private static final int REQUESTS = 2;
    private static final int SEARCHES = 4;

    /** For each idempotency key, when its first attempt that may have run arrived. */
    private static final Map<String, Long> FIRST_SENT = new HashMap<>();

    private static final Map<String, Integer> RUNS = new HashMap<>();
    private static final List<String> BREAKS = Collections.synchronizedList(new ArrayList<>());
    private static final List<Server> SERVERS = new ArrayList<>();
    /** The connections that the node opened, and those of them for second attempts, which come up late. */
    private static final AtomicInteger connections = new AtomicInteger();

    private static final AtomicInteger repeats = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], LateConnection::play);
    }

    /** An app server. The first attempt of a key runs until its connection is reset; a repetition is answered. */
    private static final class Server {
        final String uid;
        final ServerSocket listener;
        final List<Socket> running = Collections.synchronizedList(new ArrayList<>());
        private final List<Socket> waiting = new ArrayList<>();
        private boolean accepts = true;
        private volatile long acceptsSinceNanos;

        Server(String uid) throws IOException {
            this.uid = uid;
            listener = new ServerSocket(0, 1, Kit.loopback());
            Kit.start(this::acceptAll);
        }

        private void acceptAll() throws Exception {
            while (true) {
                awaitAccepting();
                Socket socket = listener.accept();
                // A connection that is accepted right away may have been in the queue; when it was sent is not known.
                boolean isJudged = System.nanoTime() - acceptsSinceNanos > 150_000_000L;
                Kit.start(() -> serve(socket, isJudged));
            }
        }

        private synchronized void awaitAccepting() throws InterruptedException {
            while (!accepts) {
                wait();
            }
        }

        /** Lets the queue of connections fill, so that a further one comes up only when its SYN is sent again. */
        void holdConnections() throws Exception {
            synchronized (this) {
                accepts = false;
            }
            for (int i = 0; i < 6; i++) {
                // The first one ends the accept that is under way.
                Thread.sleep(i == 1 ? 50 : 0);
                Socket filler = new Socket();
                waiting.add(filler);
                try {
                    filler.connect(new InetSocketAddress(Kit.loopback(), listener.getLocalPort()), 100);
                } catch (IOException full) {
                    Kit.log(uid + " has a full queue of connections");
                    return;
                }
            }
            throw new Kit.CannotRun("the queue of connections does not fill");
        }

        void acceptConnections() throws IOException {
            for (Socket filler : waiting) {
                filler.close();
            }
            waiting.clear();
            synchronized (this) {
                acceptsSinceNanos = System.nanoTime();
                accepts = true;
                notifyAll();
            }
            Kit.log(uid + " accepts connections again");
        }

        private void serve(Socket socket, boolean isJudged) throws Exception {
            try (socket) {
                Kit.Message request = Kit.read(new java.io.BufferedInputStream(socket.getInputStream()));
                connections.incrementAndGet();
                String key = request.header("idempotency-key");
                if (key == null) {
                    Kit.write(socket.getOutputStream(), Kit.response(200, "Connection: close\r\n", "found"));
                    return;
                }
                Long first;
                boolean runs;
                synchronized (RUNS) {
                    first = FIRST_SENT.putIfAbsent(key, request.firstByteNanos());
                    runs = first == null || request.lastByteNanos() - first > WINDOW_S * 1e9;
                    if (runs) {
                        RUNS.merge(key, 1, Integer::sum);
                    }
                }
                Kit.log(uid + " gets " + request.startLine() + " id " + request.header("x-txn") + " key " + key
                        + (runs ? ": runs" : ": known, does not run"));
                if (first == null) {
                    running.add(socket);
                    while (!socket.isClosed() && socket.getInputStream().read() >= 0) {
                        // Runs until the connection is reset.
                    }
                    return;
                }
                repeats.incrementAndGet();
                double afterS = (request.firstByteNanos() - first) / 1e9;
                if (isJudged && afterS > WINDOW_S + SLACK_S) {
                    BREAKS.add(String.format(
                            Locale.ROOT,
                            "duplicate: key %s was sent again %.3f s after its first attempt, window %.1f s; it has run %d times",
                            key, afterS, WINDOW_S, RUNS.get(key)));
                }
                Kit.write(socket.getOutputStream(), Kit.response(200, "Connection: close\r\n", "done"));
            }
        }

        void resetRunning() {
            for (Socket socket : List.copyOf(running)) {
                try (socket) {
                    socket.setSoLinger(true, 0);
                    Kit.log(uid + " resets a connection");
                } catch (IOException ended) {
                    Kit.log(uid + " had a connection that the node has closed");
                }
            }
            running.clear();
        }

        String entry() {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"127.0.0.1:" + listener.getLocalPort()
                    + "\",\"az\":\"hall-b\",\"model\":\"m\",\"pod_group\":1,\"state\":\"Ready\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }
    }

    private static List<String> play(Path folder) throws Exception {
        for (int i = 1; i <= APP_SERVERS; i++) {
            SERVERS.add(new Server("s-" + i));
        }
        Kit.Discovery discovery =
                new Kit.Discovery(SERVERS.stream().map(Server::entry).toList());
        int port = Kit.freePort();
        Kit.Node node = new Kit.Node(
                folder, "n0", port, Kit.configuration(port, discovery, Kit.settings("keyed", false, 1_500_000)));
        node.awaitReady();
        for (int round = 0; round < ROUNDS; round++) {
            playRound(port, round);
        }
        Kit.log(repeats + " of " + connections + " connections to app servers were for second attempts"
                + (Kit.TROUBLE ? ", and came up late" : ""));
        return BREAKS;
    }

    private static void search(int port, String id) throws IOException {
        try (Kit.Client client = new Kit.Client(port)) {
            client.send("GET /api/find-" + id + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                    + "\r\nX-Lane: search\r\nX-Org: vidzeme-brauc\r\nX-Remaining: 3000m\r\n\r\n");
            Kit.log("client " + id + " gets " + client.receive(4_000).status());
        }
    }

    private static void playRound(int port, int round) throws Exception {
        double begin = Kit.now();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SEARCHES; i++) {
            search(port, "5ea4%04x0000%04x".formatted(round, i));
        }
        for (int i = 0; i < REQUESTS; i++) {
            String id = "c0de%04x0000%04x".formatted(round, i);
            clients.add(Kit.start(() -> send(port, id)));
        }
        Kit.sleepUntil(begin + RESET_AFTER_S - 0.8);
        // Requests run at one or both servers. The connections of the others come up late.
        List<Server> busy = SERVERS.stream().filter(each -> !each.running.isEmpty()).toList();
        if (Kit.TROUBLE) {
            for (Server server : SERVERS) {
                server.holdConnections();
            }
        }
        Kit.sleepUntil(begin + RESET_AFTER_S);
        for (Server server : busy) {
            server.resetRunning();
        }
        Kit.sleepUntil(begin + RESET_AFTER_S + 0.6);
        if (Kit.TROUBLE) {
            for (Server server : SERVERS) {
                server.acceptConnections();
            }
        }
        for (Thread client : clients) {
            client.join(8_000);
        }
    }

    private static void send(int port, String id) throws IOException {
        try (Kit.Client client = new Kit.Client(port)) {
            Kit.log("client sends POST, id " + id);
            client.send("POST /api/ride-" + id + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                    + "\r\nX-Lane: post-ride\r\nX-Org: vidzeme-brauc\r\nX-Remaining: 7500m\r\nIdempotency-Key: k-" + id
                    + "\r\nContent-Length: 2\r\n\r\nab");
            Kit.Message answer = client.receive(9_000);
            Kit.log("client " + id + " gets " + answer.status() + " \"" + answer.text() + "\"");
        }
    }
}

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A peer sends a GET with a body, which is not a proper request. Nothing that it holds in the body may arrive at an app
 * server as a request, and no client may get the answer to it.
 */
final class Smuggling {
    private static final int ROUNDS = 10;
    private static final int CLIENTS = 4;
    private static final int SERVICE_MS = 150;

    /** The requests that clients and the peer sent as requests of their own: the method and path by id. */
    private static final Map<String, String> SENT = new ConcurrentHashMap<>();
    /** How often each id of the peer arrived at an app server. */
    private static final Map<String, Integer> ARRIVED = new ConcurrentHashMap<>();

    private static final List<String> BREAKS = Collections.synchronizedList(new ArrayList<>());

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], Smuggling::play);
    }

    /** Serves a request as PROTOCOL says: 404 without an id, 400 for an id that no client sent in this form. */
    private static String serve(String uid, Kit.Message request) throws InterruptedException {
        String id = request.header("x-txn");
        String form = request.startLine().replace(" HTTP/1.1", "");
        Kit.log(uid + " gets " + form + " id " + id);
        if (id == null) {
            BREAKS.add("duplicate: " + uid + " got " + form + " with no id, which no client sent");
            return Kit.response(404, "", "");
        }
        if (!form.equals(SENT.get(id))) {
            BREAKS.add("duplicate: " + uid + " got " + form + " id " + id + ", which no client sent as a request of its own");
            return Kit.response(400, "", "");
        }
        // A client's request may be sent again after its connection broke. The peer's attempts do not fail.
        if (id.startsWith("feed") && ARRIVED.merge(id, 1, Integer::sum) > 1) {
            BREAKS.add("duplicate: " + uid + " got " + form + " id " + id + " again, and no attempt of it had failed");
        }
        Thread.sleep(SERVICE_MS);
        return Kit.response(200, "", "answer to " + id);
    }

    private static List<String> play(Path folder) throws Exception {
        Kit.AppServer first = new Kit.AppServer("s-1", request -> serve("s-1", request));
        Kit.AppServer second = new Kit.AppServer("s-2", request -> serve("s-2", request));
        Kit.Discovery discovery =
                new Kit.Discovery(List.of(first.entry("hall-b", "Ready"), second.entry("hall-b", "Ready")));
        int port = Kit.freePort();
        Kit.Node node = new Kit.Node(
                folder, "n0", port, Kit.configuration(port, discovery, Kit.settings("unsafe", false, 250_000)));
        node.awaitReady();
        for (int round = 0; round < ROUNDS; round++) {
            playRound(port, round);
        }
        return BREAKS;
    }

    /** The peer sends its GET and gets its answer; then clients send theirs, each on a connection of its own. */
    private static void playRound(int port, int round) throws Exception {
        String peerId = "feed0000000000%02x".formatted(round);
        String peerForm = "GET /api/peer" + round;
        SENT.put(peerId, peerForm);
        // In odd rounds the body holds a request that no client sent, in even rounds a copy of the peer's own.
        String hidden = round % 2 == 0
                ? get(peerForm, peerId, "", "")
                : get("GET /api/hidden" + round, "dead0000000000%02x".formatted(round), "", "");
        try (Kit.Client peer = new Kit.Client(port)) {
            String body = Kit.TROUBLE ? hidden : "";
            peer.send(get(peerForm, peerId, Kit.TROUBLE ? "Content-Length: " + body.length() + "\r\n" : "", body));
            Kit.log("peer sends " + peerForm + " id " + peerId + " with a body of " + body.length() + " bytes");
            receive(peer, "peer", peerId);
        }
        Thread.sleep(60);
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            String id = "c0de%04x0000%04x".formatted(round, i);
            clients.add(Kit.start(() -> ask(port, id)));
        }
        for (Thread client : clients) {
            client.join(5_000);
        }
        Thread.sleep(300);
    }

    private static void ask(int port, String id) throws IOException {
        try (Kit.Client client = new Kit.Client(port)) {
            String form = "GET /api/ride-" + id;
            SENT.put(id, form);
            client.send(get(form, id, "", ""));
            Kit.log("client sends " + form + " id " + id);
            Kit.Message answer = receive(client, "client", id);
            if (answer != null && answer.status() == 200 && !answer.text().equals("answer to " + id)) {
                BREAKS.add("foreign answer: the client sent id " + id + " and got 200 with \"" + answer.text() + "\"");
            }
        }
    }

    private static String get(String form, String id, String header, String body) {
        return form + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                + "\r\nX-Lane: search\r\nX-Org: vidzeme-brauc\r\nX-Remaining: 2000m\r\n" + header + "\r\n" + body;
    }

    private static Kit.Message receive(Kit.Client from, String who, String id) {
        try {
            Kit.Message answer = from.receive(3_000);
            Kit.log(who + " " + id + " gets " + answer.status() + " \"" + answer.text() + "\"");
            return answer;
        } catch (IOException e) {
            Kit.log(who + " " + id + " gets no answer: " + e.getMessage());
            return null;
        }
    }
}

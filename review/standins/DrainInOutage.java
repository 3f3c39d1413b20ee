import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;

/**
 * Discovery has a change, an app server that begins to drain, and goes down before it has told it. Six seconds later the
 * change counts as told, whether or not it arrived; the node has to stop its sends within the grace.
 */
final class DrainInOutage {
    private static final double COUNTS_AS_TOLD_AFTER_S = 6.0;
    private static final double GRACE_S = 0.5;
    private static final double SLACK_S = 0.05;
    /** The time between the change and the outage; discovery tells its changes in turns. */
    private static final double UNTOLD_S = 0.5;

    private static final double OUTAGE_S = 8.0;
    private static final int CLIENTS = 3;

    private static final List<Long> ARRIVALS = Collections.synchronizedList(new ArrayList<>());
    private static volatile boolean stopped;

    public static void main(String[] args) throws Exception {
        Kit.run(args[0], DrainInOutage::play);
    }

    private static String serve(String uid, Kit.Message request, boolean drains) throws InterruptedException {
        if (drains) {
            ARRIVALS.add(request.firstByteNanos());
        }
        Kit.log(uid + " gets " + request.startLine() + " id " + request.header("x-txn"));
        Thread.sleep(30);
        return Kit.response(200, "", "done");
    }

    private static List<String> play(Path folder) throws Exception {
        Kit.AppServer leaving = new Kit.AppServer("s-1", request -> serve("s-1", request, true));
        Kit.AppServer staying = new Kit.AppServer("s-2", request -> serve("s-2", request, false));
        Kit.Discovery discovery = new Kit.Discovery(
                List.of(leaving.entry("hall-b", "Ready"), staying.entry("hall-b", "Ready")));
        int port = Kit.freePort();
        Kit.Node node = new Kit.Node(
                folder, "n0", port, Kit.configuration(port, discovery, Kit.settings("unsafe", true, 250_000)));
        node.awaitReady();
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Kit.start(() -> sendAll(port, number));
        }
        Thread.sleep(3_000);
        // An empty line has just confirmed the list.
        long line = discovery.lastLineNanos();
        while (discovery.lastLineNanos() == line) {
            Thread.sleep(5);
        }
        Thread.sleep(500);
        discovery.change(0, leaving.entry("hall-b", "Terminating"));
        double changedAt = Kit.now();
        Kit.sleepUntil(changedAt + UNTOLD_S);
        double reachableUntil = Kit.now();
        if (Kit.TROUBLE) {
            discovery.down();
            Kit.sleepUntil(reachableUntil + OUTAGE_S);
            discovery.up();
        } else {
            Kit.sleepUntil(reachableUntil + OUTAGE_S);
        }
        Thread.sleep(4_000);
        stopped = true;
        return breaks(changedAt, reachableUntil);
    }

    /** Counts the change as told 6 s after the last moment at which discovery had it and could be reached. */
    private static List<String> breaks(double changedAt, double reachableUntil) {
        double lastAllowed = reachableUntil + COUNTS_AS_TOLD_AFTER_S + GRACE_S + SLACK_S;
        List<String> breaks = new ArrayList<>();
        for (long arrival : List.copyOf(ARRIVALS)) {
            double at = Kit.seconds(arrival);
            if (at > lastAllowed) {
                breaks.add(String.format(
                        Locale.ROOT,
                        "drain: a send to s-1 %.3f s after the change, %.3f s after the end of the grace",
                        at - changedAt, at - lastAllowed));
            }
        }
        Kit.log(String.format(
                Locale.ROOT,
                "change at %.3f, reachable until %.3f, sends allowed until %.3f; %d sends to s-1 in all, last at %.3f",
                changedAt, reachableUntil, lastAllowed, ARRIVALS.size(),
                Kit.seconds(Collections.max(ARRIVALS))));
        return breaks;
    }

    private static void sendAll(int port, int number) throws Exception {
        Kit.Client client = new Kit.Client(port);
        for (int i = 0; !stopped; i++) {
            String id = "c0de%04x0000%04x".formatted(number, i);
            boolean pays = i % 2 == 0;
            try {
                client.send((pays ? "POST" : "GET") + " /api/ride" + i + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + id
                        + "\r\nX-Org: vidzeme-brauc\r\nX-Lane: " + (pays ? "pay" : "search") + "\r\nX-Remaining: 3000m\r\n"
                        + (pays ? "Content-Length: 2\r\n\r\nab" : "\r\n"));
                Kit.Message answer = client.receive(4_000);
                Kit.log("client " + id + " gets " + answer.status());
            } catch (IOException e) {
                Kit.log("client " + id + " gets no answer: " + e.getMessage());
                client.close();
                client = new Kit.Client(port);
            }
            Thread.sleep(100);
        }
    }
}

import java.io.IOException;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Discovery as PROTOCOL describes it: watches begin with the whole list, changes follow, and a blank line every 2 s. */
final class Discovery {
    private final Map<String, String> entries = new LinkedHashMap<>();
    private final List<String> changes = new ArrayList<>();
    private final Set<Socket> watches = new HashSet<>();
    private final Set<Socket> silentWatches = new HashSet<>();
    private final int port;
    private ServerSocket listener;
    private int version = 1;
    private long heartbeats;

    Discovery() throws IOException {
        listener = Http.listen(this::watch);
        port = listener.getLocalPort();
    }

    /** Waits until the next blank line is written to a watch. */
    synchronized void awaitHeartbeat() throws InterruptedException {
        long before = heartbeats;
        while (heartbeats == before) {
            wait();
        }
    }

    /** Has the open watches fall silent: nothing is written to them any more. New calls are answered. */
    synchronized void silenceWatches() {
        silentWatches.addAll(watches);
    }

    /** Goes down: open connections are reset, and new ones are refused. */
    synchronized void goDown() throws IOException {
        listener.close();
        for (Socket watch : watches) {
            watch.setSoLinger(true, 0);
            watch.close();
        }
        watches.clear();
    }

    /** Comes back at the same address, with all that it had. */
    synchronized void comeBack() throws IOException {
        listener = Http.listen(port, this::watch);
    }

    static String entry(String uid, int port, String state, long bootMs) {
        return """
                {"uid":"%s","endpoint":"127.0.0.1:%d","az":"hall-b","model":"m","pod_group":0,"state":"%s",\
                "capacity_hint":1.0,"boot_ms":%d}"""
                .formatted(uid, port, state, bootMs);
    }

    String address() {
        return "127.0.0.1:" + port;
    }

    synchronized void put(String uid, int port, String state, long bootMs) {
        version++;
        entries.put(uid, entry(uid, port, state, bootMs));
        changes.add(list(false, entries.get(uid)));
        notifyAll();
    }

    synchronized String wholeList() {
        return list(true, String.join(",", entries.values()));
    }

    private String list(boolean all, String targets) {
        return "{\"rev\":%d,\"all\":%b,\"targets\":[%s]}".formatted(version, all, targets);
    }

    private void watch(Socket socket) throws Exception {
        Http.read(Http.input(socket));
        Http.write(socket, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
        int told;
        synchronized (this) {
            writeChunk(socket, wholeList() + "\n");
            told = changes.size();
            watches.add(socket);
        }
        while (true) {
            List<String> untold;
            synchronized (this) {
                long nextHeartbeatAt = System.nanoTime() + 2_000_000_000L;
                long leftMs;
                while (told == changes.size() && (leftMs = (nextHeartbeatAt - System.nanoTime()) / 1_000_000) > 0) {
                    wait(leftMs);
                }
                untold = List.copyOf(changes.subList(told, changes.size()));
                told = changes.size();
                if (!silentWatches.contains(socket)) {
                    writeChunk(socket, untold.isEmpty() ? "\n" : String.join("\n", untold) + "\n");
                    heartbeats += untold.isEmpty() ? 1 : 0;
                    notifyAll();
                }
            }
        }
    }

    private static void writeChunk(Socket socket, String text) throws IOException {
        Http.write(socket, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
    }
}

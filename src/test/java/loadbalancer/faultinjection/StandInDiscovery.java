package loadbalancer.faultinjection;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.IntFunction;

/** Stands in for discovery of one node. A schedule selects the fault of each call. */
final class StandInDiscovery implements AutoCloseable {
    /** The fault of a call to discovery. */
    enum Fault {
        /** No fault: sends the list at once, then its changes. */
        NONE,
        /** Delays the response by three seconds, as if the call were queued. */
        QUEUED,
        /** Accepts the connection and never sends anything. */
        SILENT,
        /** Sends only the head of a response. */
        HEAD_ONLY,
        /** Responds with 503 at once. */
        BUSY,
        /** Responds with 503 after two seconds. */
        BUSY_LATE,
        /** Responds with 503 after three seconds, the delay of a queued call. */
        BUSY_AFTER_QUEUE,
        /** Resets the connection at once. */
        RESET,
        /** Sends lists one byte at a time, 1 ms apart. */
        BYTEWISE,
        /** Sends half of the list, then resets the connection. */
        TRUNCATED_LIST,
        /** Sends the complete list without draining endpoints. */
        OMITS_DRAINING,
        /** Ends the watch at the first change without sending the change. */
        ENDS_AT_CHANGE,
        /** Sends the list, then neither changes nor heartbeats. */
        FALLS_SILENT
    }

    /** The time when a version was written to the node, at least in part (nanoseconds of the monotonic clock). */
    record Written(int version, long atNanos) {}

    /** The time when a watch ended without sending a version (nanoseconds of the monotonic clock). */
    record Withheld(int version, long atNanos) {}

    private static final int BACKLOG = 50;
    private static final long HEARTBEAT_INTERVAL_MS = 2_000;
    private static final long QUEUE_DELAY_MS = 3_000;
    private static final long BUSY_DELAY_MS = 2_000;

    private final EndpointListHistory history;
    private final IntFunction<Fault> schedule;
    private final InetSocketAddress address;
    private volatile ServerSocket serverSocket;
    private final AtomicInteger calls = new AtomicInteger();
    private final Queue<Written> written = new ConcurrentLinkedQueue<>();
    private final Queue<Withheld> withheld = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();
    /** The number of heartbeats on all watches. */
    private final AtomicInteger heartbeats = new AtomicInteger();
    /** Watches on calls before this number are silent. */
    private volatile int firstAudibleCall;

    /** Creates a stand-in that uses the schedule to map the number of each call, from 0, to its fault. */
    StandInDiscovery(EndpointListHistory history, IntFunction<Fault> schedule) throws IOException {
        this.history = history;
        this.schedule = schedule;
        serverSocket = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
        address = (InetSocketAddress) serverSocket.getLocalSocketAddress();
        StandInThreads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + address.getPort();
    }

    /** Waits for the next heartbeat on any watch. */
    void awaitHeartbeat() throws InterruptedException {
        int before = heartbeats.get();
        while (heartbeats.get() == before) {
            Thread.sleep(1);
        }
    }

    /** All open watches stay open and send nothing from now on. */
    void silenceWatches() {
        firstAudibleCall = calls.get();
    }

    /** Resets all connections, and refuses new ones until {@link #comeBack}. */
    void goDown() throws IOException {
        serverSocket.close();
        for (Socket socket : openSockets) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Accepts connections again at the same address. */
    void comeBack() throws IOException {
        ServerSocket reopened = new ServerSocket();
        reopened.setReuseAddress(true);
        reopened.bind(address, BACKLOG);
        serverSocket = reopened;
        StandInThreads.start(this::accept);
    }

    int calls() {
        return calls.get();
    }

    List<Written> written() {
        return new ArrayList<>(written);
    }

    List<Withheld> withheld() {
        return new ArrayList<>(withheld);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = serverSocket.accept();
            openSockets.add(socket);
            int call = calls.getAndIncrement();
            Fault fault = schedule.apply(call);
            StandInThreads.start(() -> {
                try {
                    serve(socket, call, fault);
                } finally {
                    openSockets.remove(socket);
                    if (fault != Fault.SILENT && fault != Fault.HEAD_ONLY) {
                        socket.close();
                    }
                }
            });
        }
    }

    private void serve(Socket socket, int call, Fault fault) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.ISO_8859_1));
        String requestLine = reader.readLine();
        while (requestLine != null && !reader.readLine().isEmpty()) {
            // Skips the headers, which are not needed.
        }
        if (requestLine == null) {
            return;
        }
        switch (fault) {
            case SILENT -> {}
            case HEAD_ONLY -> write(socket, responseHead());
            case BUSY -> refuseAfter(0, socket);
            case BUSY_LATE -> refuseAfter(BUSY_DELAY_MS, socket);
            case BUSY_AFTER_QUEUE -> refuseAfter(QUEUE_DELAY_MS, socket);
            case RESET -> socket.setSoLinger(true, 0);
            default -> watch(socket, call, fault, parseAfter(requestLine));
        }
    }

    private static String responseHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    private static void refuseAfter(long delayMs, Socket socket) throws IOException, InterruptedException {
        Thread.sleep(delayMs);
        write(socket, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n");
    }

    private static int parseAfter(String requestLine) {
        int at = requestLine.indexOf("after=");
        return at < 0
                ? -1
                : Integer.parseInt(requestLine.substring(at + "after=".length(), requestLine.indexOf(' ', at)));
    }

    private void watch(Socket socket, int call, Fault fault, int after) throws IOException, InterruptedException {
        if (fault == Fault.QUEUED) {
            Thread.sleep(QUEUE_DELAY_MS);
        }
        int version = history.version();
        boolean omitsDraining = fault == Fault.OMITS_DRAINING;
        boolean isComplete = omitsDraining || after < 0 || after > version;
        write(socket, responseHead());
        String first =
                isComplete ? history.completeList(version, !omitsDraining) : history.changesBetween(after, version);
        if (fault == Fault.TRUNCATED_LIST) {
            write(socket, chunk(first.substring(0, first.length() / 2)));
            written.add(new Written(version, System.nanoTime()));
            socket.setSoLinger(true, 0);
            return;
        }
        writeList(socket, first, fault, version);
        while (true) {
            int next = history.awaitAfter(version, HEARTBEAT_INTERVAL_MS);
            if (fault == Fault.FALLS_SILENT || call < firstAudibleCall) {
                // Waits until the node closes the connection; the node sends nothing on a watch.
                if (socket.getInputStream().read() < 0) {
                    return;
                }
            } else if (next == version) {
                write(socket, chunk("\n"));
                heartbeats.incrementAndGet();
            } else if (fault == Fault.ENDS_AT_CHANGE) {
                withheld.add(new Withheld(next, System.nanoTime()));
                return;
            } else {
                writeList(socket, history.changesBetween(version, next), fault, next);
                version = next;
            }
        }
    }

    private void writeList(Socket socket, String list, Fault fault, int version)
            throws IOException, InterruptedException {
        if (fault == Fault.BYTEWISE) {
            for (int i = 0; i < list.length(); i++) {
                write(socket, chunk(list.substring(i, i + 1)));
                Thread.sleep(1);
            }
        }
        write(socket, chunk(fault == Fault.BYTEWISE ? "\n" : list + "\n"));
        written.add(new Written(version, System.nanoTime()));
    }

    private static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }
}

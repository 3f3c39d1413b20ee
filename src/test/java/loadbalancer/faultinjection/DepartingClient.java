package loadbalancer.faultinjection;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;

import loadbalancer.testsupport.HttpMessages;

/** A client that sends some requests at once, disconnects soon after without reading all responses, and comes again. */
final class DepartingClient implements AutoCloseable {
    private static final int MAX_REQUESTS = 60;
    private static final int MAX_STAY_MS = 300;
    private static final int MAX_BODY_BYTES = 20_000;
    private static final String REMAINING = "2000m";

    private final InetSocketAddress nodeAddress;
    private final String name;
    private final SplittableRandom random;
    /** When the client of each request disconnected, in nanoseconds of the monotonic clock. */
    private final Map<String, Long> leftAtNanos = new ConcurrentHashMap<>();

    private final Queue<String> allOrders = new ConcurrentLinkedQueue<>();
    private volatile boolean closed;
    private int requestCount;
    /** The ids of the last connection, some of which come again on the next one. */
    private List<String> lastOrders = List.of();

    DepartingClient(InetSocketAddress nodeAddress, String name, SplittableRandom random) {
        this.nodeAddress = nodeAddress;
        this.name = name;
        this.random = random;
        StandInThreads.start(this::run);
    }

    /** Returns the ids of all non-idempotent requests. */
    List<String> orders() {
        return new ArrayList<>(allOrders);
    }

    /** Returns when the client of each request disconnected for the last time. */
    Map<String, Long> leftAtNanos() {
        return Map.copyOf(leftAtNanos);
    }

    private void run() throws InterruptedException {
        while (!closed) {
            List<String> ids = new ArrayList<>();
            List<String> orders = new ArrayList<>();
            String input = input(ids, orders);
            Socket socket = new Socket();
            try {
                socket.connect(nodeAddress);
                OutputStream out = socket.getOutputStream();
                out.write(input.getBytes(StandardCharsets.ISO_8859_1));
                Thread.sleep(random.nextInt(MAX_STAY_MS));
                socket.setSoLinger(random.nextInt(4) == 0, 0);
            } catch (IOException e) {
                // The node does not listen, or has closed the connection.
            }
            leave(socket, ids);
            lastOrders = orders;
            Thread.sleep(random.nextInt(MAX_STAY_MS));
        }
    }

    private void leave(Socket socket, List<String> ids) {
        try {
            socket.close();
        } catch (IOException e) {
            // The connection has ended in another way.
        }
        long now = System.nanoTime();
        ids.forEach(id -> leftAtNanos.put(id, now));
    }

    /** Returns requests of both classes; now and then the last one is incomplete or invalid. */
    private String input(List<String> ids, List<String> orders) {
        StringBuilder input = new StringBuilder();
        boolean isPipelined = random.nextInt(3) > 0;
        int count = isPipelined ? 1 + random.nextInt(MAX_REQUESTS) : 1;
        for (int i = 0; i < count; i++) {
            String id = name + "-" + requestCount++;
            if (random.nextInt(4) > 0) {
                input.append(HttpMessages.page("/api/" + id, id, REMAINING));
            } else {
                boolean isReturning = !lastOrders.isEmpty() && random.nextInt(8) == 0;
                id = isReturning ? lastOrders.get(random.nextInt(lastOrders.size())) : id;
                int bodyBytes = random.nextInt(8) == 0 ? MAX_BODY_BYTES : 2;
                input.append(HttpMessages.order(id, REMAINING, "b".repeat(bodyBytes)));
                orders.add(id);
                allOrders.add(id);
            }
            ids.add(id);
        }
        switch (random.nextInt(8)) {
            case 0 -> input.append("GET /api/x HTTP/1.1\r\nX-Txn: half");
            case 1 -> input.append("NO REQUEST\r\n\r\n").append("x".repeat(MAX_BODY_BYTES));
            default -> {}
        }
        return input.toString();
    }

    @Override
    public void close() {
        closed = true;
    }
}

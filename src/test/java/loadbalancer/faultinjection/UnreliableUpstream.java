package loadbalancer.faultinjection;

import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.PushbackInputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentLinkedQueue;

import loadbalancer.testsupport.HttpMessages;

/**
 * An endpoint that responds with the id of the request quickly, slowly or with an error, rejects requests after a while, or resets connections. A
 * seed decides which request gets which response.
 */
final class UnreliableUpstream implements AutoCloseable {
    /**
     * A request that arrived.
     *
     * @param firstByteNanos when its first byte arrived, in nanoseconds of the monotonic clock
     * @param isExecuted whether it arrived completely and was not rejected
     */
    record Arrival(String requestId, long firstByteNanos, boolean isExecuted) {}

    private static final int MAX_HOLD_MS = 600;
    private static final int MAX_QUICK_MS = 30;
    private static final String REJECTION = HttpMessages.response("503 Busy", "X-Turned-Away: 1\r\n", "");

    private final ServerSocket listener = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final SplittableRandom random;

    UnreliableUpstream(SplittableRandom random) throws IOException {
        this.random = random;
        StandInThreads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    List<Arrival> arrivals() {
        return new ArrayList<>(arrivals);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = listener.accept();
            sockets.add(socket);
            StandInThreads.start(() -> {
                try (socket) {
                    serve(socket);
                } finally {
                    sockets.remove(socket);
                }
            });
        }
    }

    private synchronized int nextInt(int bound) {
        return random.nextInt(bound);
    }

    private void serve(Socket socket) throws IOException, InterruptedException {
        socket.setTcpNoDelay(true);
        PushbackInputStream in = new PushbackInputStream(socket.getInputStream());
        int firstByte;
        while ((firstByte = in.read()) >= 0) {
            long firstByteNanos = System.nanoTime();
            in.unread(firstByte);
            HttpMessages.Message request = read(in, firstByteNanos);
            String id = request.headers().getOrDefault("x-txn", "");
            int percent = nextInt(100);
            boolean isRejected = percent >= 70 && percent < 88;
            arrivals.add(new Arrival(id, firstByteNanos, !isRejected));
            Thread.sleep(nextInt(percent < 55 ? MAX_QUICK_MS : MAX_HOLD_MS));
            if (percent >= 94) {
                socket.setSoLinger(true, 0);
                return;
            }
            String response = percent < 70 ? HttpMessages.ok(id) : HttpMessages.response("500 No", "", "");
            socket.getOutputStream().write((isRejected ? REJECTION : response).getBytes(StandardCharsets.ISO_8859_1));
        }
    }

    private HttpMessages.Message read(InputStream in, long firstByteNanos) throws IOException {
        try {
            return HttpMessages.read(in);
        } catch (EOFException e) {
            arrivals.add(new Arrival("", firstByteNanos, false));
            throw e;
        }
    }

    @Override
    public void close() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}

package loadbalancer.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

import loadbalancer.testsupport.HttpMessages;

/** Stands in for an endpoint. It serves every request at once and records when the first byte arrived. */
final class StandInUpstream implements AutoCloseable {
    /** A request that reached an endpoint, and the time of its first byte (nanoseconds of the monotonic clock). */
    record Arrival(String endpointId, String requestId, long firstByteNanos) {}

    /** The path of requests whose response has a body of a million bytes. */
    static final String LONG_RESPONSE_PATH = "/api/long";

    private static final int LONG_RESPONSE_BYTES = 1_000_000;

    private record ReceivedRequest(String id, String path) {}

    private static final String ID_HEADER = "x-txn:";
    private static final String LENGTH_HEADER = "content-length:";

    private final String endpointId;
    private final ServerSocket serverSocket;
    private final Queue<Arrival> arrivals = new ConcurrentLinkedQueue<>();
    private final Queue<Socket> openSockets = new ConcurrentLinkedQueue<>();

    StandInUpstream(String endpointId) throws IOException {
        this.endpointId = endpointId;
        serverSocket = new ServerSocket(0, 200, InetAddress.getLoopbackAddress());
        StandInThreads.start(this::accept);
    }

    String address() {
        return "127.0.0.1:" + serverSocket.getLocalPort();
    }

    List<Arrival> arrivals() {
        return new ArrayList<>(arrivals);
    }

    private void accept() throws IOException {
        while (true) {
            Socket socket = serverSocket.accept();
            openSockets.add(socket);
            StandInThreads.start(() -> {
                try {
                    serve(socket);
                } finally {
                    openSockets.remove(socket);
                    socket.close();
                }
            });
        }
    }

    private void serve(Socket socket) throws IOException {
        socket.setTcpNoDelay(true);
        InputStream in = socket.getInputStream();
        byte[] response = response("served by " + endpointId);
        byte[] longResponse = response("l".repeat(LONG_RESPONSE_BYTES));
        int firstByte;
        while ((firstByte = in.read()) >= 0) {
            long atNanos = System.nanoTime();
            ReceivedRequest request = readRequest(firstByte, in);
            arrivals.add(new Arrival(endpointId, request.id, atNanos));
            socket.getOutputStream().write(request.path.equals(LONG_RESPONSE_PATH) ? longResponse : response);
        }
    }

    private static byte[] response(String body) {
        return HttpMessages.ok(body).getBytes(StandardCharsets.ISO_8859_1);
    }

    private static ReceivedRequest readRequest(int firstByte, InputStream in) throws IOException {
        StringBuilder head = new StringBuilder().append((char) firstByte);
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection closed before the end of the request head");
            }
            head.append((char) next);
        }
        String requestId = "";
        int length = 0;
        for (String line : head.toString().lines().toList()) {
            String lowerCaseLine = line.toLowerCase(Locale.ROOT);
            if (lowerCaseLine.startsWith(ID_HEADER)) {
                requestId = line.substring(ID_HEADER.length()).strip();
            } else if (lowerCaseLine.startsWith(LENGTH_HEADER)) {
                length = Integer.parseInt(line.substring(LENGTH_HEADER.length()).strip());
            }
        }
        in.readNBytes(length);
        return new ReceivedRequest(requestId, head.toString().split(" ", 3)[1]);
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }
}

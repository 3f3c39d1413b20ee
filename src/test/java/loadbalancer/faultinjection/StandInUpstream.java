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

/** Stands in for an endpoint. It serves every request at once and records when the first byte arrived. */
final class StandInUpstream implements AutoCloseable {
    /** A request that reached an endpoint, and the time of its first byte (nanoseconds of the monotonic clock). */
    record Arrival(String endpointId, String requestId, long firstByteNanos) {}

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
        byte[] body = ("served by " + endpointId).getBytes(StandardCharsets.ISO_8859_1);
        byte[] head = ("HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n")
                .getBytes(StandardCharsets.ISO_8859_1);
        int firstByte;
        while ((firstByte = in.read()) >= 0) {
            long atNanos = System.nanoTime();
            String requestId = readRequest(firstByte, in);
            arrivals.add(new Arrival(endpointId, requestId, atNanos));
            socket.getOutputStream().write(head);
            socket.getOutputStream().write(body);
        }
    }

    private static String readRequest(int firstByte, InputStream in) throws IOException {
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
        return requestId;
    }

    @Override
    public void close() throws IOException {
        serverSocket.close();
        for (Socket socket : openSockets) {
            socket.close();
        }
    }
}

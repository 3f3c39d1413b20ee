package loadbalancer.faultinjection;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicInteger;

/** A client that sends one request after another on a keep-alive connection and reconnects if the connection closes. */
final class ClosedLoopClient implements AutoCloseable {
    private static final long REQUEST_PAUSE_MS = 10;

    private final InetSocketAddress nodeAddress;
    private final String clientName;
    private final AtomicInteger responseCount = new AtomicInteger();
    private volatile boolean closed;

    ClosedLoopClient(String clientName, InetSocketAddress nodeAddress) {
        this.clientName = clientName;
        this.nodeAddress = nodeAddress;
        StandInThreads.start(this::run);
    }

    /** Returns the number of complete responses of any status. */
    int responseCount() {
        return responseCount.get();
    }

    private void run() throws InterruptedException {
        int requestNumber = 0;
        while (!closed) {
            try (Socket socket = new Socket(nodeAddress.getAddress(), nodeAddress.getPort())) {
                socket.setTcpNoDelay(true);
                while (!closed) {
                    sendRequest(socket, clientName + "-" + requestNumber++);
                    Thread.sleep(REQUEST_PAUSE_MS);
                }
            } catch (IOException e) {
                // The node has closed the connection. The next request opens another one.
                Thread.sleep(REQUEST_PAUSE_MS);
            }
        }
    }

    private void sendRequest(Socket socket, String requestId) throws IOException {
        String request = "GET /api/page HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + requestId
                + "\r\nX-Lane: page\r\nX-Remaining: 1000m\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        InputStream in = socket.getInputStream();
        StringBuilder head = new StringBuilder();
        while (head.indexOf("\r\n\r\n") < 0) {
            int next = in.read();
            if (next < 0) {
                throw new IOException("connection closed before the end of the response head");
            }
            head.append((char) next);
        }
        String length = head.toString().replaceAll("(?is).*content-length: *([0-9]+).*", "$1");
        in.readNBytes(Integer.parseInt(length));
        responseCount.incrementAndGet();
    }

    @Override
    public void close() {
        closed = true;
    }
}

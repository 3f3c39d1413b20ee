package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.Callable;
import java.util.concurrent.LinkedBlockingQueue;

import loadbalancer.testsupport.HttpMessages;

/** A listener with a full backlog. Further connects complete only after it has accepted connections. */
public final class HangingListener implements AutoCloseable {
    private final ServerSocket listener = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
    private final Socket firstInBacklog = new Socket(listener.getInetAddress(), listener.getLocalPort());
    private final Socket secondInBacklog = new Socket(listener.getInetAddress(), listener.getLocalPort());

    /** Listens on a free port of the loopback interface and fills the backlog. */
    public HangingListener() throws IOException {
        assertTrue(firstInBacklog.isConnected() && secondInBacklog.isConnected());
        listener.setSoTimeout(20_000);
    }

    /** Returns the address and port in the format of an endpoint list. */
    public String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    /** Accepts the two connections that fill the backlog, so that pending connects complete. */
    public void freeBacklog() throws IOException {
        listener.accept();
        listener.accept();
    }

    /** Accepts the next connection. */
    public Socket accept() throws IOException {
        return listener.accept();
    }

    /** Serves all further connections, and returns a queue to which the ids of their requests are added. */
    public BlockingQueue<String> serveAll() {
        BlockingQueue<String> requestIds = new LinkedBlockingQueue<>();
        startThread(() -> {
            while (true) {
                Socket accepted = accept();
                startThread(() -> serve(accepted, requestIds));
            }
        });
        return requestIds;
    }

    /** Starts a thread that ends when its socket is closed. */
    private static void startThread(Callable<?> task) {
        Thread thread = new Thread(
                () -> {
                    try {
                        task.call();
                    } catch (Exception e) {
                        // The other side has closed the connection, or the test is over.
                    }
                },
                "endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    /** Responds to each request on a connection of the proxy, and adds their ids to a queue. */
    private static Void serve(Socket connection, BlockingQueue<String> requestIds) throws IOException {
        while (true) {
            HttpMessages.Message request = HttpMessages.read(connection.getInputStream());
            requestIds.add(request.headers().get("x-txn"));
            connection.getOutputStream().write(HttpMessages.ok("x").getBytes(StandardCharsets.US_ASCII));
        }
    }

    @Override
    public void close() throws IOException {
        firstInBacklog.close();
        secondInBacklog.close();
        listener.close();
    }
}

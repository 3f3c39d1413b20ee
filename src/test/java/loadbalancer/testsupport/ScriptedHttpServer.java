package loadbalancer.testsupport;

import static org.junit.jupiter.api.Assertions.assertNotNull;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Queue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** An HTTP server in the place of an upstream or of discovery: it records requests, and a script responds. */
public final class ScriptedHttpServer implements AutoCloseable {
    /** Responds to requests. */
    public interface Script {
        /** Writes the response to the peer, or nothing, on the thread of its connection. */
        void respond(HttpMessages.Message request, Peer peer) throws IOException;
    }

    /** A connection that the proxy has opened. */
    public record Peer(Socket socket) {
        /** Writes text as UTF-8. */
        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Resets the connection. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** The requests, in the order of their arrival. */
    public final BlockingQueue<HttpMessages.Message> requests = new LinkedBlockingQueue<>();
    /** The connection of each request, added once the script has run: later writes follow its response. */
    public final BlockingQueue<Peer> peers = new LinkedBlockingQueue<>();

    /** Connections that the proxy has closed. */
    public final BlockingQueue<Peer> closedConnections = new LinkedBlockingQueue<>();
    /** Connections in the order in which they were accepted. */
    public final BlockingQueue<Peer> accepted = new LinkedBlockingQueue<>();
    /** The number of connections accepted so far. */
    public final AtomicInteger acceptedCount = new AtomicInteger();

    private final Queue<Socket> sockets = new ConcurrentLinkedQueue<>();
    private final ServerSocket listener;
    private final Script script;

    /** Listens on a free port of the loopback interface. */
    public ScriptedHttpServer(Script script) throws IOException {
        this.script = script;
        listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
    }

    /** A server that responds to each request with status 200. */
    public static ScriptedHttpServer serving(String body) throws IOException {
        return new ScriptedHttpServer((request, peer) -> peer.write(HttpMessages.ok(body)));
    }

    /** A server that responds with status 200 once the latch is released. */
    public static ScriptedHttpServer servingFrom(CountDownLatch start, String body) throws IOException {
        return new ScriptedHttpServer((request, peer) -> {
            await(start);
            peer.write(HttpMessages.ok(body));
        });
    }

    /** Waits for the latch in a script, which delays the response. */
    public static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** The address and port, as in an endpoint list. */
    public String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                acceptedCount.incrementAndGet();
                Peer peer = new Peer(socket);
                accepted.add(peer);
                startDaemon(() -> serve(peer));
            }
        } catch (IOException e) {
            // The listener is closed.
        }
    }

    private void serve(Peer peer) {
        try {
            while (true) {
                HttpMessages.Message request = HttpMessages.read(peer.socket.getInputStream());
                requests.add(request);
                script.respond(request, peer);
                peers.add(peer);
            }
        } catch (IOException e) {
            closedConnections.add(peer);
        }
    }

    /** Removes the next element; fails if there is none within 20 seconds. */
    public static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T next = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(next, "no element within 20 seconds");
        return next;
    }

    /** Closes the listener and all connections, as the end of its process would. */
    public void stop() throws IOException {
        listener.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    @Override
    public void close() throws IOException {
        stop();
    }
}

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

/** An HTTP server that stands in for an endpoint or for discovery. It records requests and runs a script for each. */
public final class ScriptedHttpServer implements AutoCloseable {
    /** Determines the response to each request. */
    public interface Script {
        /** Writes the response to the peer, or nothing. Called on the thread of the connection. */
        void respond(HttpMessages.Message request, Peer peer) throws IOException;
    }

    /** A connection that the proxy opened to this server. */
    public record Peer(Socket socket) {
        /** Writes the text as UTF-8. */
        public void write(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
        }

        /** Closes the connection with a TCP reset. */
        public void reset() throws IOException {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** The requests received, in order of arrival. */
    public final BlockingQueue<HttpMessages.Message> requests = new LinkedBlockingQueue<>();
    /**
     * The connection of each request, added after the script has run, so that what a test writes to the connection
     * follows the response of the script.
     */
    public final BlockingQueue<Peer> peers = new LinkedBlockingQueue<>();

    /** Connections that were closed or reset by the proxy, or by this server. */
    public final BlockingQueue<Peer> closedConnections = new LinkedBlockingQueue<>();
    /** The connections, in the order in which they were accepted. */
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
        startDaemon(this::acceptConnections);
    }

    /** Starts a server that responds to each request with status 200. */
    public static ScriptedHttpServer serving(String body) throws IOException {
        return new ScriptedHttpServer((request, peer) -> peer.write(HttpMessages.ok(body)));
    }

    /** Starts a server that responds to each request with status 200, but not before the latch is released. */
    public static ScriptedHttpServer servingFrom(CountDownLatch latch, String body) throws IOException {
        return new ScriptedHttpServer((request, peer) -> {
            await(latch);
            peer.write(HttpMessages.ok(body));
        });
    }

    /** Waits for the latch. Called by a script to delay its response. */
    public static void await(CountDownLatch latch) throws IOException {
        try {
            latch.await();
        } catch (InterruptedException e) {
            throw new IOException(e);
        }
    }

    /** Returns the address and port of this server as an endpoint list names them. */
    public String endpoint() {
        return "127.0.0.1:" + listener.getLocalPort();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task, "scripted-server");
        thread.setDaemon(true);
        thread.start();
    }

    private void acceptConnections() {
        try {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                acceptedCount.incrementAndGet();
                Peer peer = new Peer(socket);
                accepted.add(peer);
                startDaemon(() -> serveConnection(peer));
            }
        } catch (IOException e) {
            // stop() has closed the listener.
        }
    }

    private void serveConnection(Peer peer) {
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

    /** Waits for the next element and removes it. Fails if there is none within 20 seconds. */
    public static <T> T next(BlockingQueue<T> queue) throws InterruptedException {
        T element = queue.poll(20, TimeUnit.SECONDS);
        assertNotNull(element, "no request or connection was added to the queue within 20 seconds");
        return element;
    }

    /** Closes the listener and all connections, as the exit of a server process does. */
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

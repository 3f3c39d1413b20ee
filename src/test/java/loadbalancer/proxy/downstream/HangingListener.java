package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;

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

    @Override
    public void close() throws IOException {
        firstInBacklog.close();
        secondInBacklog.close();
        listener.close();
    }
}

package loadbalancer.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;

import loadbalancer.testsupport.HttpMessages;

/** A connection of a client that is opened when it is needed. Used on one thread. */
final class ReconnectingSocket {
    private final InetSocketAddress address;
    /** The open connection, or null. */
    private Socket connection;

    ReconnectingSocket(InetSocketAddress address) {
        this.address = address;
    }

    /** Sends a request, on a new connection if none is open, and returns the response. */
    HttpMessages.Message ask(String request, int timeoutMs) throws IOException {
        if (connection == null) {
            connection = new Socket();
            connection.setTcpNoDelay(true);
            connection.connect(address, timeoutMs);
        }
        connection.setSoTimeout(timeoutMs);
        connection.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return HttpMessages.read(connection.getInputStream());
    }

    void disconnect() {
        try {
            if (connection != null) {
                connection.close();
            }
        } catch (IOException e) {
            // The connection has failed already.
        }
        connection = null;
    }
}

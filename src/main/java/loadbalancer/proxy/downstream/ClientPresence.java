package loadbalancer.proxy.downstream;

/** Tells whether a client is still connected. It may be kept for longer than the connection, which it releases. */
public final class ClientPresence {
    /** Null once the connection has closed. */
    private ClientConnection connection;

    ClientPresence(ClientConnection connection) {
        this.connection = connection;
    }

    void onClosed() {
        connection = null;
    }

    /** Returns whether the client is certainly connected, as {@link ClientConnection#isConfirmedConnected} does. */
    public boolean isConfirmed() {
        return connection != null && connection.isConfirmedConnected();
    }
}

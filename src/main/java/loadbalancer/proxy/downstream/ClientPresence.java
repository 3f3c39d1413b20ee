package loadbalancer.proxy.downstream;

import java.net.SocketAddress;

import loadbalancer.policy.retry.ExecutedTransactions;

/** Tells whether a client is still connected. It may be kept for longer than the connection, which it releases. */
public final class ClientPresence implements ExecutedTransactions.Client {
    private final SocketAddress address;
    /** Null once the connection has closed, like the other. */
    private ClientChannel channel;

    private ReadAhead readAhead;

    ClientPresence(ClientChannel channel, ReadAhead readAhead) {
        address = channel.remoteAddress();
        this.channel = channel;
        this.readAhead = readAhead;
    }

    void onClosed() {
        channel = null;
        readAhead = null;
    }

    /** Returns the address and port of the client, which name the connection in the log. */
    public SocketAddress address() {
        return address;
    }

    /**
     * {@inheritDoc} To detect a disconnect, the proxy reads what the client has sent; it returns false if that exceeds the
     * limit, because the end of the stream may be behind it.
     */
    @Override
    public boolean isConnected() {
        return channel != null && channel.isActive() && readAhead.confirmConnected();
    }

    /** Returns whether the client has certainly disconnected. */
    public boolean hasDisconnected() {
        return !isConnected() && (channel == null || !channel.isActive());
    }
}

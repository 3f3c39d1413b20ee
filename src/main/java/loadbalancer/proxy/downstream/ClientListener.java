package loadbalancer.proxy.downstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.List;

import io.netty.channel.socket.nio.NioServerSocketChannel;

import loadbalancer.proxy.resources.ConnectionLimits;

/** The listening socket for clients. Accepts each connection as a {@link ClientChannel}. */
public class ClientListener extends NioServerSocketChannel {
    /** The maximum number of connections that the operating system queues until they are accepted. */
    static final int MAX_BACKLOG_CONNECTIONS = 1_024;

    private long acceptedConnections;

    @Override
    protected final int doReadMessages(List<Object> connections) throws Exception {
        SocketChannel socket = acceptSocket();
        if (socket == null) {
            return 0;
        }
        try {
            connections.add(new ClientChannel(this, socket));
        } catch (RuntimeException | Error e) {
            socket.close();
            throw e;
        }
        acceptedConnections++;
        return 1;
    }

    /**
     * Accepts the next connection of the backlog.
     *
     * @return null if the backlog is empty
     * @throws IOException if the connection cannot be accepted, for example because no descriptor is left
     */
    protected SocketChannel acceptSocket() throws IOException {
        return javaChannel().accept();
    }

    /**
     * Accepts all connections of the backlog. Closing the listener would reset them, and the requests that have arrived
     * on them would be lost. Must not be called while the listener is accepting connections.
     */
    final void acceptBacklog() {
        int maxRounds = 1 + MAX_BACKLOG_CONNECTIONS / ConnectionLimits.MAX_ACCEPTS_PER_ITERATION;
        for (int round = 0; round < maxRounds; round++) {
            long acceptedBefore = acceptedConnections;
            unsafe().read();
            if (acceptedConnections == acceptedBefore) {
                return;
            }
        }
    }
}

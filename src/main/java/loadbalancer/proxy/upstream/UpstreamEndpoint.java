package loadbalancer.proxy.upstream;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import loadbalancer.policy.AttemptResult;
import loadbalancer.proxy.config.EndpointList;

/** An endpoint of the list, its connections without an exchange, and the exchanges that wait for a connection. */
final class UpstreamEndpoint {
    private static final byte[] NO_BODY = {};

    final String id;
    /** Connections that are available for an exchange, the most recently used first. */
    final ArrayDeque<UpstreamConnection> idleConnections = new ArrayDeque<>();
    /** Connections whose reuse delay after the last response is not over. */
    final Set<UpstreamConnection> reuseDelayedConnections = new LinkedHashSet<>();
    /** Exchanges that wait for a connection, in order of arrival. Each new or free connection takes the first. */
    final ArrayDeque<UpstreamExchange> pendingExchanges = new ArrayDeque<>();

    /** The number of connects under way. */
    int connectsUnderWay;

    private InetSocketAddress address;
    private long startedAtUs;
    /** Increases with each new process of the endpoint. */
    private int generation;

    private boolean ready;

    UpstreamEndpoint(String id) {
        this.id = id;
    }

    /**
     * Applies the entry of the endpoint list. A new address or start time means another process, which gets a new
     * generation number; connections of earlier generations are not used any more. Start times are only compared for
     * equality, never for order, because they come from wall clocks of different machines, which may be stepped.
     */
    void update(EndpointList.AddressedEndpoint listedEndpoint, boolean isReady) {
        if (!listedEndpoint.address().equals(address) || listedEndpoint.entry().startedAtUs() != startedAtUs) {
            generation++;
        }
        address = listedEndpoint.address();
        startedAtUs = listedEndpoint.entry().startedAtUs();
        ready = isReady;
        if (!ready) {
            endPendingExchanges();
        }
        closeUnused(false);
    }

    /** Stops the use of an endpoint that is no longer in the list. */
    void remove() {
        ready = false;
        endPendingExchanges();
        closeUnused(true);
    }

    boolean isReady() {
        return ready;
    }

    InetSocketAddress address() {
        return address;
    }

    int generation() {
        return generation;
    }

    /** Closes connections without an exchange: all of them, or only those that are not usable any more. */
    void closeUnused(boolean all) {
        List<UpstreamConnection> unused = new ArrayList<>(idleConnections);
        unused.addAll(reuseDelayedConnections);
        unused.stream().filter(connection -> all || !connection.isUsable()).forEach(UpstreamConnection::close);
    }

    /** Fails the first pending exchange if more exchanges wait for a connection than connects are under way. */
    void failOneWithoutConnect() {
        if (pendingExchanges.size() > connectsUnderWay) {
            pendingExchanges.poll().onCompleted(AttemptResult.CONNECT_FAILED, NO_BODY);
        }
    }

    /** Completes all pending exchanges as not sent, because the endpoint must not get new requests. */
    void endPendingExchanges() {
        UpstreamExchange exchange;
        while ((exchange = pendingExchanges.poll()) != null) {
            exchange.onCompleted(AttemptResult.NOT_SENT, NO_BODY);
        }
    }
}

package kitemux.node;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

import kitemux.Balancer.Result;

/** A server of the list with the connections to it that carry nothing, and what awaits a connection. */
final class Upstream {
    private static final byte[] NO_BODY = {};

    final String id;
    /** Ready for an exchange, the most recently used first. */
    final ArrayDeque<ServerConnection> idle = new ArrayDeque<>();
    /** Those whose last response is too recent for another exchange. */
    final Set<ServerConnection> resting = new LinkedHashSet<>();
    /** Exchanges for which a connection is being opened; they take the first that is free. */
    final ArrayDeque<Exchange> awaiting = new ArrayDeque<>();

    int dialing;

    private InetSocketAddress endpoint;
    private long startedAtUs;
    private int generation;
    private boolean ready;

    Upstream(String id) {
        this.id = id;
    }

    /**
     * Follows the list's entry. A new address or start time is another process, and so another generation:
     * connections of an earlier one are of no more use. Times of different machines are never compared, as
     * a wall clock may have been stepped between them.
     */
    void follow(HostList.Host host, boolean isReady) {
        if (!host.endpoint().equals(endpoint) || host.entry().startedAtUs() != startedAtUs) {
            generation++;
        }
        endpoint = host.endpoint();
        startedAtUs = host.entry().startedAtUs();
        ready = isReady;
        if (!ready) {
            turnAwayAll();
        }
        closeUnused(false);
    }

    /** The server is no longer in the list. */
    void remove() {
        ready = false;
        turnAwayAll();
        closeUnused(true);
    }

    boolean isReady() {
        return ready;
    }

    InetSocketAddress endpoint() {
        return endpoint;
    }

    int generation() {
        return generation;
    }

    /** Closes connections that carry nothing: all of them, or those that are not usable any more. */
    void closeUnused(boolean all) {
        List<ServerConnection> unused = new ArrayList<>(idle);
        unused.addAll(resting);
        unused.stream().filter(connection -> all || !connection.isUsable()).forEach(ServerConnection::close);
    }

    /** Fails one exchange if more await a connection than connections are being opened. */
    void failOneWithoutDial() {
        if (awaiting.size() > dialing) {
            awaiting.poll().ended(Result.CONNECT_FAILED, NO_BODY);
        }
    }

    /** Ends what awaits a connection to a server that must get nothing new: it never ran. */
    void turnAwayAll() {
        Exchange exchange;
        while ((exchange = awaiting.poll()) != null) {
            exchange.ended(Result.MOOT, NO_BODY);
        }
    }
}

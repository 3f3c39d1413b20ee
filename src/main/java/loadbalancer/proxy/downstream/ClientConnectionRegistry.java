package loadbalancer.proxy.downstream;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;

import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.DescriptorBudget;

/** The open client connections. The registry evicts connections so that other clients can connect. */
final class ClientConnectionRegistry {
    private final DescriptorBudget descriptors;
    /** Connections that have not received a request yet, the oldest first. */
    private final Set<ClientConnection> unused = new LinkedHashSet<>();
    /** Connections with a received request whose response has not been written. */
    private final Set<ClientConnection> busy = new LinkedHashSet<>();
    /** Connections whose received requests all have a response, the longest idle first. */
    private final Set<ClientConnection> idle = new LinkedHashSet<>();

    ClientConnectionRegistry(DescriptorBudget descriptors) {
        this.descriptors = descriptors;
    }

    void add(ClientConnection connection) {
        unused.add(connection);
    }

    /** Marks a connection as busy when it receives a request while it serves none. */
    void onRequest(ClientConnection connection) {
        unused.remove(connection);
        idle.remove(connection);
        busy.add(connection);
    }

    /** Marks a connection as idle when all its requests have a response. Evicts one if too many are idle. */
    void onResponseWritten(ClientConnection connection) {
        if (busy.remove(connection)) {
            idle.add(connection);
            if (idle.size() > descriptors.maxIdleClients()) {
                evictFirst(idle);
            }
        }
    }

    void onClosed(ClientConnection connection) {
        unused.remove(connection);
        busy.remove(connection);
        idle.remove(connection);
    }

    /** Returns a copy of the list of all connections, which does not change when connections close. */
    List<ClientConnection> all() {
        List<ClientConnection> all = new ArrayList<>(unused);
        all.addAll(busy);
        all.addAll(idle);
        return all;
    }

    int size() {
        return unused.size() + busy.size() + idle.size();
    }

    /**
     * Closes one connection to free its descriptor: the oldest unused connection if its grace period is over, else the
     * longest idle connection, else the oldest unused connection if its first request has stalled. While most
     * connections are unused, the grace period is ignored, so that a flood of new connections does not evict the
     * connections of regular clients.
     *
     * @return false if no connection can be evicted
     */
    boolean evictOne() {
        if (!unused.isEmpty()) {
            boolean isFlood = unused.size() > busy.size() + idle.size();
            if ((isFlood || isGracePeriodOver(unused.iterator().next())) && evictFirst(unused)) {
                return true;
            }
        }
        return evictFirst(idle) || evictStalled();
    }

    /**
     * Rejects the requests of the connection whose input has taken up most memory for longest, as the input of a client
     * that stalls does.
     *
     * @return false if no connection has input that can be rejected
     */
    boolean rejectLargestInput() {
        Optional<ClientConnection> largest = Stream.of(unused, busy, idle)
                .flatMap(Set::stream)
                .filter(connection -> connection.memory().hasRejectableInput())
                .max(Comparator.comparingDouble(
                        connection -> connection.memory().inputByteSeconds()));
        largest.ifPresent(connection -> {
            connection.memory().rejectInput();
            connection.onInputMemoryChanged();
        });
        return largest.isPresent();
    }

    /**
     * Closes the connection whose response has not been read for the longest time.
     *
     * @return false if all responses are written
     */
    boolean closeSlowestReader() {
        Optional<ClientConnection> slowest = busy.stream()
                .filter(connection -> connection.memory().hasUnwrittenResponse())
                .max(Comparator.comparingLong(
                        connection -> connection.timeouts().waitingUs()));
        slowest.ifPresent(connection -> {
            connection.memory().releaseResponse();
            connection.close(CloseReason.OUT_OF_MEMORY_BUDGET);
        });
        return slowest.isPresent();
    }

    private static boolean isGracePeriodOver(ClientConnection connection) {
        return connection.timeouts().hasWaitedLongerThan(ConnectionLimits.NEW_CONNECTION_GRACE_MS);
    }

    /** Evicts the oldest unused connection if its first request has stalled and its grace period is over. */
    private boolean evictStalled() {
        ClientConnection oldest = unused.isEmpty() ? null : unused.iterator().next();
        if (oldest == null || !oldest.hasStalledRequest() || !isGracePeriodOver(oldest)) {
            return false;
        }
        unused.remove(oldest);
        oldest.close(CloseReason.EVICTED);
        return true;
    }

    /**
     * Evicts the first connection that is unused. It is removed immediately, because the event that reports its close
     * arrives later.
     *
     * @return false if there is no such connection
     */
    private static boolean evictFirst(Set<ClientConnection> connections) {
        for (ClientConnection connection : connections) {
            if (connection.closeIfUnused(CloseReason.EVICTED)) {
                connections.remove(connection);
                return true;
            }
        }
        return false;
    }
}

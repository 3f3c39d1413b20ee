package loadbalancer.proxy.resources;

/**
 * Counts open connections against the file descriptor limit of the process, so that client connections leave
 * descriptors for upstream connections.
 */
public final class DescriptorBudget {
    /** Descriptors that the JVM, the jar, the listener and the discovery connection use. */
    private static final int PROCESS_DESCRIPTORS = 32;

    /**
     * Descriptors that are not available to counted connections. They include one for each connection that an iteration
     * of the event loop accepts, because an accepted connection has a descriptor before it is counted.
     */
    private static final int RESERVED_DESCRIPTORS = PROCESS_DESCRIPTORS + ConnectionLimits.MAX_ACCEPTS_PER_ITERATION;

    private static final int MIN_SOCKETS = 8;

    /** The maximum fraction of the sockets for client connections, because requests also need upstream connections. */
    private static final double MAX_CLIENT_FRACTION = 0.6;

    /** The maximum fraction of all descriptors for idle client connections, so that new clients can always connect. */
    private static final double MAX_IDLE_CLIENT_FRACTION = 1.0 / 6;

    private final int maxSockets;
    private final int maxIdleClients;
    private int openSockets;
    private int openClients;

    /**
     * Creates the budget of a process.
     *
     * @param maxDescriptors the file descriptor limit of the process
     */
    public DescriptorBudget(int maxDescriptors) {
        maxSockets = Math.max(MIN_SOCKETS, maxDescriptors - RESERVED_DESCRIPTORS);
        maxIdleClients = (int) (MAX_IDLE_CLIENT_FRACTION * maxDescriptors);
    }

    /** Counts an upstream connection that is being opened. */
    public void onUpstreamOpened() {
        openSockets++;
    }

    /** Releases the descriptor of an upstream connection that has closed or could not be opened. */
    public void onUpstreamClosed() {
        openSockets--;
    }

    /** Counts a client connection that has been accepted. */
    public void onClientOpened() {
        openSockets++;
        openClients++;
    }

    /** Releases the descriptor of a client connection that has closed. */
    public void onClientClosed() {
        openSockets--;
        openClients--;
    }

    /** Returns the number of counted connections to clients and endpoints. */
    public int openSockets() {
        return openSockets;
    }

    /** Returns how many idle client connections may stay open. */
    public int maxIdleClients() {
        return maxIdleClients;
    }

    /** Returns whether another upstream connection may be opened. */
    public boolean hasCapacityForUpstream() {
        return openSockets < maxSockets;
    }

    /** Returns whether there is room for the counted client connections, including one that was just accepted. */
    public boolean hasCapacityForClient() {
        return openSockets < maxSockets && openClients < MAX_CLIENT_FRACTION * maxSockets;
    }
}

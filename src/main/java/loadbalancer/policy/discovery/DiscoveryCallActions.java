package loadbalancer.policy.discovery;

/** The network operations that {@link DiscoveryCallScheduler} requests. */
public interface DiscoveryCallActions {
    /** Opens a connection to discovery and requests a watch on it. */
    void open(DiscoveryCallId call);

    /**
     * Closes a call. The end of the call is not reported to the scheduler.
     *
     * @param reason why the scheduler closes the call, for the log
     */
    void close(DiscoveryCallId call, String reason);
}

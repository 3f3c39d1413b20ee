package loadbalancer.policy.discovery;

/** The way in which a call to discovery ended, either before its first message or as a watch. */
public enum DiscoveryCallOutcome {
    /** Discovery completed the response, or closed the connection without an error. */
    COMPLETED,
    /** The call was rejected or reset, its response was malformed, or connecting failed without a refusal. */
    FAILED,
    /**
     * The address of discovery refused the connection. Discovery could not be reached at that moment; what it did before
     * is not known.
     */
    CONNECTION_REFUSED
}

package loadbalancer.policy.discovery;

/**
 * The right to route requests by the endpoint list. Only this class decides when that right expires.
 *
 * <p>A change of the list counts as notified a fixed time after discovery received it, even if it has not arrived at
 * the proxy. From then on, the proxy has the drain grace to follow the change. The lease therefore expires before the
 * grace after a change that the proxy may have missed ends, however many calls to discovery fail. A call that discovery
 * accepts and that then fails does not renew the lease, because discovery was reachable and may have received a change.
 *
 * <p>All times are microseconds of the proxy's clock.
 */
public final class EndpointListLease {
    /** The expiry of a lease that was never granted; earlier than any time of the clock. */
    public static final long NOT_GRANTED = Long.MIN_VALUE;

    private static final long UNLIMITED = Long.MAX_VALUE;

    /**
     * The maximum time between two verifications that the list is current, a little longer than the 2 s between
     * heartbeats. Discovery may have received a change during a longer gap.
     */
    private static final long MAX_VERIFICATION_GAP_US = 2_500_000;

    private final EndpointListLeaseTerms terms;
    private long expiresAtUs = NOT_GRANTED;
    /** When discovery was last known to have no change that is missing from the list of the proxy. */
    private long lastVerifiedAtUs;
    /** For how long a refused connection renews the lease; depends on how the watch ended. */
    private long refusedConnectionTermUs;
    /** The upper limit of the expiry until discovery confirms a list. */
    private long maxExpiryUs = UNLIMITED;

    /** Creates a lease that has not been granted. */
    public EndpointListLease(EndpointListLeaseTerms terms) {
        this.terms = terms;
    }

    /** Returns the time at which the lease expires unless it is renewed, or {@link #NOT_GRANTED}. */
    public long expiresAtUs() {
        return expiresAtUs;
    }

    /** Returns whether requests may be routed by the endpoint list. */
    public boolean isValid(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** Renews the lease after discovery has sent a list that was applied, or a heartbeat after such a list. */
    void onListConfirmed(long nowUs) {
        maxExpiryUs = UNLIMITED;
        refusedConnectionTermUs = terms.afterConfirmationUs();
        lastVerifiedAtUs = nowUs;
        expiresAtUs = nowUs + terms.afterConfirmationUs();
    }

    /**
     * Renews a valid lease after the address of discovery has refused a connection, because discovery cannot
     * have received a change then. The lease is not renewed if the time since the last verification is too long,
     * because the proxy may have missed a change during that time.
     */
    void onConnectionRefused(long nowUs) {
        if (isValid(nowUs) && nowUs - lastVerifiedAtUs <= MAX_VERIFICATION_GAP_US) {
            lastVerifiedAtUs = nowUs;
            expiresAtUs = Math.min(maxExpiryUs, nowUs + refusedConnectionTermUs);
        }
    }

    /** Shortens the lease after discovery has completed the response of the watch. */
    void onWatchEnded(long nowUs) {
        shortenAfterWatch(nowUs, terms.afterWatchEndUs());
    }

    /** Shortens the lease after the watch was reset. */
    void onWatchReset(long nowUs) {
        shortenAfterWatch(nowUs, terms.afterWatchResetUs());
    }

    private void shortenAfterWatch(long nowUs, long termUs) {
        refusedConnectionTermUs = termUs;
        expiresAtUs = Math.min(expiresAtUs, nowUs + termUs);
    }

    /** Limits the lease after a list has begun to arrive, because the changes in the list count as notified. */
    void onPartialList(long nowUs) {
        limitExpiry(nowUs + terms.afterPartialListUs());
    }

    /** Limits the lease until the new address of discovery confirms a list. */
    void onDiscoveryMoved(long signalledAtUs) {
        limitExpiry(signalledAtUs + terms.afterMoveUs());
    }

    private void limitExpiry(long limitUs) {
        maxExpiryUs = Math.min(maxExpiryUs, limitUs);
        expiresAtUs = Math.min(expiresAtUs, limitUs);
    }
}

package loadbalancer.policy.discovery;

/**
 * The right to route requests by the endpoint list. Only this class decides when that right expires.
 *
 * <p>A change of the list counts as notified a fixed time after discovery received it, even if it has not arrived at
 * the proxy. From then on, the proxy has the drain grace to follow the change. The lease therefore expires before the
 * grace after a change that the proxy may have missed ends, however many calls to discovery fail.
 *
 * <p>Only a message of discovery proves that the list is current, at the time of that message. No failure renews the
 * lease. A refused connection proves that discovery could not be reached at that moment, but not that it had no change
 * between the last message and that moment: the watch may have been unresponsive since its last message.
 *
 * <p>All times are microseconds of the proxy's clock.
 */
public final class EndpointListLease {
    /** The expiry of a lease that was never granted; earlier than any time of the clock. */
    public static final long NOT_GRANTED = Long.MIN_VALUE;

    private final EndpointListLeaseTerms terms;
    private long expiresAtUs = NOT_GRANTED;

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
        expiresAtUs = nowUs + terms.afterConfirmationUs();
    }

    /** Shortens the lease after discovery has completed the response of the watch. */
    void onWatchEnded(long nowUs) {
        limitExpiry(nowUs + terms.afterWatchEndUs());
    }

    /** Shortens the lease after the watch was reset. */
    void onWatchReset(long nowUs) {
        limitExpiry(nowUs + terms.afterWatchResetUs());
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
        expiresAtUs = Math.min(expiresAtUs, limitUs);
    }
}

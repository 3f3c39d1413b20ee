package loadbalancer.policy.discovery;

import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.log.RequestsRejectedWithoutLease;

/** The lease on the endpoint list as the caller reports it. Without reports, the lease does not expire. */
public final class LeaseStatus {
    private final DecisionLog log;
    private long expiresAtUs = Long.MAX_VALUE;
    private long rejectedRequests;

    /** Creates a lease that does not expire unless the caller reports an expiry. */
    public LeaseStatus(DecisionLog log) {
        this.log = log;
    }

    /** Sets the expiry, and logs the number of requests that were rejected if the lease is valid again. */
    public void onLeaseChanged(long newExpiresAtUs, long nowUs) {
        expiresAtUs = newExpiresAtUs;
        if (isValid(nowUs) && rejectedRequests > 0) {
            log.record(new RequestsRejectedWithoutLease(rejectedRequests), nowUs);
            rejectedRequests = 0;
        }
    }

    /** Returns whether requests may be routed by the endpoint list. */
    public boolean isValid(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** Counts a request that is rejected because the lease is not valid. */
    public void onRequestRejected() {
        rejectedRequests++;
    }
}

package loadbalancer.policy.discovery;

import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.log.RequestsRejectedWithoutLease;

/** The lease on the endpoint list as the caller reports it; without reports it is held for good. */
public final class LeaseStatus {
    private final DecisionLog log;
    private long expiresAtUs = Long.MAX_VALUE;
    private long rejectedRequests;

    /** A lease that is held for good until something else is reported. */
    public LeaseStatus(DecisionLog log) {
        this.log = log;
    }

    /** The lease ends at another time. */
    public void onLeaseChanged(long newExpiresAtUs, long nowUs) {
        expiresAtUs = newExpiresAtUs;
        if (isValid(nowUs) && rejectedRequests > 0) {
            log.record(new RequestsRejectedWithoutLease(rejectedRequests), nowUs);
            rejectedRequests = 0;
        }
    }

    /** Whether requests may be sent by the list. */
    public boolean isValid(long nowUs) {
        return nowUs < expiresAtUs;
    }

    /** A request is rejected for want of a lease. */
    public void onRequestRejected() {
        rejectedRequests++;
    }
}

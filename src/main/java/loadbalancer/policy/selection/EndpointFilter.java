package loadbalancer.policy.selection;

import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;

/** Decides which endpoints a request may be sent to at a given time. */
public interface EndpointFilter {
    /** Returns whether an attempt of {@code request} may be started at {@code endpoint} now. */
    boolean mayAttemptAt(PendingRequest request, Endpoint endpoint, long nowUs);
}

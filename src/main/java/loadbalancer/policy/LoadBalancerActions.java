package loadbalancer.policy;

import loadbalancer.policy.log.PolicyEvent;

/**
 * The actions that the decision module requests from its caller. They take effect in the order of the calls, at the
 * time of the event that the module is handling.
 */
public interface LoadBalancerActions {
    /**
     * Starts the next attempt of a request. The attempts of a request are numbered from 0 in the order of their starts.
     *
     * @param deadlineUs the time by which the attempt must have ended
     */
    void startAttempt(long requestId, String endpointId, long deadlineUs);

    /** Stops waiting for an attempt. The caller still reports the outcome of the attempt. */
    void cancelAttempt(long requestId, int attemptNumber);

    /**
     * Gives the final response of a request: rejected, which means that the client may safely retry.
     *
     * @param retryAfterUs the time after which the client should retry, counted from now; 0 for none
     */
    void reject(long requestId, long retryAfterUs);

    /** Gives the final response of a request: failed, which means that an endpoint may have executed the request. */
    void fail(long requestId);

    /** Requests a call of {@link LoadBalancer#onTimer} at this time or soon after; replaces an earlier such request. */
    void setTimer(long atUs);

    /** Closes this instance's idle connections to an endpoint. */
    void closeIdleConnections(String endpointId);

    /** Requests the changes of the endpoint list: those since the known list now, and later ones as they occur. */
    void watchEndpointList();

    /** Logs a decision for operators. */
    void record(PolicyEvent event);
}

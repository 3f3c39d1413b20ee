package loadbalancer.policy;

import java.util.List;

/**
 * The interface of the decision module. The caller reports events by these methods, and executes the actions that the
 * module requests through {@link LoadBalancerActions}.
 *
 * <p>Times and durations are in microseconds; times are read from the caller's clock, which never goes backwards. An
 * instance serves one proxy node, is single-threaded and never blocks. It calls its {@link LoadBalancerActions} only
 * while it handles an event. The same events with the same seed result in the same actions.
 */
public interface LoadBalancer {

    /** Reports an endpoint list or changes of it. An endpoint that is missing from a complete list has been removed. */
    void onEndpointList(long nowUs, EndpointListKind kind, List<EndpointListEntry> entries);

    /** Reports that a request for the endpoint list failed or its watch broke. The known list stays in use. */
    void onEndpointListFailed(long nowUs);

    /**
     * Reports a new expiry of the lease on the endpoint list. Without a lease, no attempt starts, and requests that
     * have no attempt in flight get a final response: a rejection where the client may safely retry, else a failure.
     * Until the first call of this method, the lease does not expire.
     */
    void onLeaseChanged(long nowUs, long expiresAtUs);

    /**
     * Reports a request from a client. It gets exactly one final response, or none if its client disconnects before.
     *
     * @throws IllegalArgumentException if the settings do not contain the class or tenant of the request, or if a
     *     request with the same id is pending
     */
    void onRequest(long nowUs, Request request);

    /**
     * Returns whether an attempt may be sent now. The caller checks this before each write of an attempt, because the
     * attempt may have waited since it started, for example for a connection. An attempt that may not be sent ends as not
     * sent.
     */
    boolean isSendPermitted(long nowUs, long requestId, int attemptNumber);

    /** Reports how one attempt ended. Outcomes of unknown attempts are ignored. */
    void onAttemptOutcome(long nowUs, AttemptOutcome outcome);

    /** Reports the first byte of a response in a streamed class. The attempt has no deadline from then on. */
    void onFirstByte(long nowUs, long requestId, int attemptNumber);

    /** Reports that a client has closed its connection. Its request gets no response. Unknown ids are ignored. */
    void onClientDisconnected(long nowUs, long requestId);

    /** Reports that the time set with {@link LoadBalancerActions#setTimer} has been reached. */
    void onTimer(long nowUs);
}

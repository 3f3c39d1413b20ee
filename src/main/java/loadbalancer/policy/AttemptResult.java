package loadbalancer.policy;

/** How an attempt ended. */
public enum AttemptResult {
    /** The endpoint responded with a success. */
    OK(false),
    /** The endpoint responded with an error; it may have executed the request. */
    ERROR(false),
    /** The endpoint rejected the request without executing it. */
    REJECTED(true),
    /** No response arrived in time; the endpoint may have executed the request or may still be executing it. */
    TIMEOUT(false),
    /** No connection to the endpoint was available in time, so the request was not sent. */
    CONNECT_FAILED(true),
    /** The connection broke; the endpoint may have executed the request. */
    RESET(false),
    /** The attempt was cancelled; the endpoint may have executed the request. */
    CANCELLED(false),
    /** The request was never sent to the endpoint. */
    NOT_SENT(true);

    /** Whether the endpoint is known not to have executed the request. */
    public final boolean knownNotExecuted;

    AttemptResult(boolean knownNotExecuted) {
        this.knownNotExecuted = knownNotExecuted;
    }
}

package loadbalancer.policy;

/** The fields that an endpoint's load report may contain. */
public enum LoadReportField {
    /** Number of requests that the endpoint is executing. */
    IN_FLIGHT,
    /** Number of requests that wait at the endpoint. */
    QUEUED,
    /** Share of the endpoint's capacity that is in use. */
    UTILIZATION,
    /** Mean latency in milliseconds. */
    LATENCY_MS,
    /** Responses per second. */
    REQUESTS_PER_SECOND,
    /** Errors per second. */
    ERRORS_PER_SECOND,
    /** A field that is not known to this program. */
    OTHER
}

package loadbalancer.proxy.protocol;

/** The paths and header fields of requests and responses between clients, the proxy and upstream endpoints. */
public final class HttpProtocol {
    /** The id of a request. Every request has a new id, including a client's retry of an earlier request. */
    public static final String TRANSACTION_ID_HEADER = "X-Txn";

    /** The name of a request's class, as in the settings. */
    public static final String REQUEST_CLASS_HEADER = "X-Lane";

    /**
     * The time from the arrival of a request's header until the deadline of the request. The value is a number followed
     * by {@link #REMAINING_TIME_MILLISECONDS_UNIT} or {@link #REMAINING_TIME_MICROSECONDS_UNIT}.
     */
    public static final String REMAINING_TIME_HEADER = "X-Remaining";

    /** The unit that follows a {@link #REMAINING_TIME_HEADER} in milliseconds. */
    public static final String REMAINING_TIME_MILLISECONDS_UNIT = "m";

    /** The unit that follows a {@link #REMAINING_TIME_HEADER} in microseconds. */
    public static final String REMAINING_TIME_MICROSECONDS_UNIT = "u";

    /** The name of a request's tenant, as in the settings; optional. */
    public static final String TENANT_HEADER = "X-Org";

    /** A client's estimate of the work of a request, in microseconds; optional. */
    public static final String ESTIMATED_WORK_HEADER = "X-Estimate";

    /** Has the value {@link #FLAG_SET} if a request is a client's retry of an earlier request; optional. */
    public static final String CLIENT_RETRY_HEADER = "X-Resent";

    /** The idempotency key of a request whose class has idempotency keys. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** Has the value {@link #FLAG_SET} in a response if the endpoint rejected the request without executing it. */
    public static final String REJECTED_HEADER = "X-Turned-Away";

    /** The value of {@link #CLIENT_RETRY_HEADER} and {@link #REJECTED_HEADER} if they apply. */
    public static final String FLAG_SET = "1";

    /** The prefix of paths that are forwarded to endpoints. The prefix without its last slash is forwarded too. */
    public static final String API_PATH_PREFIX = "/api/";

    /** The path at which the proxy reports whether it is ready for clients. */
    public static final String READINESS_PATH = "/up";

    private HttpProtocol() {}
}

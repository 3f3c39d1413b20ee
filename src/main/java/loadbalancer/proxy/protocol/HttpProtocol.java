package loadbalancer.proxy.protocol;

/** The paths and header fields of requests and responses between clients, the proxy and upstream endpoints. */
public final class HttpProtocol {
    /** Identifies a request; every request has a new one, and so has a client's retry. */
    public static final String TRANSACTION_ID_HEADER = "X-Txn";

    /** Names the request class of a request, as in the settings. */
    public static final String REQUEST_CLASS_HEADER = "X-Lane";

    /**
     * The time until the deadline of a request, counted from the arrival of its header: a number that is followed by
     * {@link #REMAINING_TIME_MILLISECONDS_UNIT} or {@link #REMAINING_TIME_MICROSECONDS_UNIT}.
     */
    public static final String REMAINING_TIME_HEADER = "X-Remaining";

    /** The unit behind a {@link #REMAINING_TIME_HEADER} in milliseconds. */
    public static final String REMAINING_TIME_MILLISECONDS_UNIT = "m";

    /** The unit behind a {@link #REMAINING_TIME_HEADER} in microseconds. */
    public static final String REMAINING_TIME_MICROSECONDS_UNIT = "u";

    /** Names the tenant of a request, as in the settings; optional. */
    public static final String TENANT_HEADER = "X-Org";

    /** A client's estimate of the work of a request, in microseconds; optional. */
    public static final String ESTIMATED_WORK_HEADER = "X-Estimate";

    /** {@link #FLAG_SET} if a request is a client's retry of an earlier request; optional. */
    public static final String CLIENT_RETRY_HEADER = "X-Resent";

    /** The idempotency key of a request whose class has idempotency keys. */
    public static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

    /** {@link #FLAG_SET} in a response if the endpoint rejected the request without executing it. */
    public static final String REJECTED_HEADER = "X-Turned-Away";

    /** The value of {@link #CLIENT_RETRY_HEADER} and {@link #REJECTED_HEADER}. */
    public static final String FLAG_SET = "1";

    /** Paths that begin with it are forwarded to endpoints, as is the same path without the last slash. */
    public static final String API_PATH_PREFIX = "/api/";

    /** The path at which the proxy answers whether it is ready for clients. */
    public static final String READINESS_PATH = "/up";

    private HttpProtocol() {}
}

package loadbalancer.proxy.resources;

/** Limits and timeouts of client connections and upstream connections. */
public final class ConnectionLimits {
    /** The maximum size of a request body, as defined by the protocol. */
    public static final int MAX_REQUEST_BODY_BYTES = 64 << 10;

    /** The maximum size of a response body. Endpoints send bodies that are larger than the protocol allows. */
    public static final int MAX_RESPONSE_BODY_BYTES = 1 << 20;

    /** The maximum initial size of a response buffer, even if the response announces a longer body. */
    public static final int INITIAL_RESPONSE_BUFFER_BYTES = 16 << 10;

    /** The maximum number of header fields of a request. */
    public static final int MAX_REQUEST_HEADER_FIELDS = 100;

    /** The maximum number of header fields of a response: the shortest fields that the maximum size of a head allows. */
    public static final int MAX_RESPONSE_HEADER_FIELDS = 2_048;

    /**
     * The maximum size of a request on the wire, with its head, chunk lengths and trailers. It allows the longest body in
     * chunks of one byte.
     */
    public static final int MAX_REQUEST_WIRE_BYTES = 8 * MAX_REQUEST_BODY_BYTES;

    /** The maximum number of informational responses before a final response. */
    public static final int MAX_INFORMATIONAL_RESPONSES = 16;

    /** The maximum size of a read. What is left of it after complete messages stays in memory. */
    public static final int MAX_READ_BYTES = 16 << 10;

    /** The memory for requests that may wait on one connection before the proxy pauses decoding its input. */
    public static final int MAX_PIPELINED_BYTES = MAX_REQUEST_BODY_BYTES + (16 << 10);

    /** The number of received requests that may wait on one connection before the proxy pauses decoding its input. */
    public static final int MAX_PIPELINED_REQUESTS = 16;

    /**
     * The number of bytes that are read of one connection while its decoding is paused, to detect that the client
     * disconnects. Together with one further read, they fill a buffer of 64 KiB.
     */
    public static final int MAX_READ_AHEAD_BYTES = 3 * MAX_READ_BYTES;

    /** The maximum number of connections that are accepted in one iteration of the event loop. */
    public static final int MAX_ACCEPTS_PER_ITERATION = 64;

    /**
     * The maximum time from the first byte of a request to its last byte. For the first request on a connection, the
     * time begins when the client connects.
     */
    public static final long READ_TIMEOUT_MS = 2_000;

    /** The maximum time that an idle client connection stays open after a response. */
    public static final long KEEP_ALIVE_TIMEOUT_MS = 5_000;

    /** The maximum time for writing a response to a client. */
    public static final long WRITE_TIMEOUT_MS = 5_000;

    /**
     * The time that a client has to close the connection after the last response. If the proxy closed the connection
     * earlier, a reset could discard data that the client has not read yet.
     */
    public static final long LINGER_MS = 1_000;

    /**
     * The time during which a new connection is not evicted to free its descriptor, because its first request may be in
     * transit.
     */
    public static final long NEW_CONNECTION_GRACE_MS = 100;

    /**
     * The time for which the proxy accepts connections after SIGTERM. Clients still connect up to 400 ms after SIGTERM.
     */
    public static final long ACCEPT_AFTER_SHUTDOWN_MS = 500;

    /** The time after a response before the connection is reused, because a stray second response may follow. */
    public static final long REUSE_DELAY_US = 20_000;

    /** The interval between two checks for connections that have exceeded a timeout. */
    public static final long HOUSEKEEPING_INTERVAL_MS = 200;

    private ConnectionLimits() {}
}

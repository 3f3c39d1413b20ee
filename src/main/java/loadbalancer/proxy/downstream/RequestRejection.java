package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The response to a request that the proxy does not serve.
 *
 * @param reason the body of the response, which may be empty
 * @param closesConnection whether the connection closes, because the start of the next request is unknown or the client
 *     is likely to repeat the error
 */
record RequestRejection(HttpResponseStatus status, byte[] reason, boolean closesConnection) {
    private static final byte[] NO_REASON = {};

    /** The rejection of a complete request for lack of memory, which the client may safely retry. */
    static final RequestRejection FOR_LACK_OF_MEMORY =
            new RequestRejection(HttpResponseStatus.SERVICE_UNAVAILABLE, NO_REASON, false);

    /** Returns why the request is rejected, for the log. */
    String cause() {
        return closesConnection ? "invalid or incomplete request" : "out of memory budget";
    }

    /** Returns a rejection that closes the connection. */
    static RequestRejection closing(HttpResponseStatus status) {
        return new RequestRejection(status, NO_REASON, true);
    }
}

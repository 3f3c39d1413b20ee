package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * A complete request, or the error status for an invalid request.
 *
 * @param head the request line and headers, or null for an invalid request
 * @param body the body, which may be empty
 * @param arrivedAtUs when its last byte was read, or when it was rejected, in microseconds of the proxy's clock
 * @param error the status of the response to an invalid request, or null for a complete request
 */
record ReceivedRequest(HttpRequest head, byte[] body, long arrivedAtUs, HttpResponseStatus error) {
    private static final byte[] EMPTY_BODY = {};

    static ReceivedRequest complete(HttpRequest head, byte[] body, long arrivedAtUs) {
        return new ReceivedRequest(head, body, arrivedAtUs, null);
    }

    static ReceivedRequest rejected(HttpResponseStatus error, long arrivedAtUs) {
        return new ReceivedRequest(null, EMPTY_BODY, arrivedAtUs, error);
    }
}

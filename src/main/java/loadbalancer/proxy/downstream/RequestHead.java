package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * The head of a request, reduced to what the proxy needs to serve it, or the reason why the request is rejected.
 *
 * @param request the request to forward, without its body; null for a readiness check or a rejected request
 * @param allowsBody whether the body of the request may have bytes
 * @param isKeepAlive whether the client keeps the connection for further requests
 * @param rejection the rejection of a request whose head is invalid, or null
 */
record RequestHead(ClientRequest request, boolean allowsBody, boolean isKeepAlive, RequestRejection rejection) {
    static RequestHead forwarded(ClientRequest request, boolean allowsBody, boolean isKeepAlive) {
        return new RequestHead(request, allowsBody, isKeepAlive, null);
    }

    static RequestHead readinessCheck(boolean isKeepAlive) {
        return new RequestHead(null, false, isKeepAlive, null);
    }

    static RequestHead rejected(HttpResponseStatus status, byte[] reason) {
        return new RequestHead(null, false, false, new RequestRejection(status, reason, true));
    }

    /** Returns an estimate of the memory that the head takes up. */
    int heldBytes() {
        return ReceivedRequest.OVERHEAD_BYTES + (request == null ? 0 : request.heldBytes());
    }
}

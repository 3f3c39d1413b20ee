package loadbalancer.proxy.downstream;

/**
 * A complete request, or the rejection of a request.
 *
 * @param request the request to forward; null for a readiness check or a rejected request
 * @param isKeepAlive whether the client keeps the connection for further requests
 * @param arrivedAtUs when its last byte was read, or when it was rejected, in microseconds of the proxy's clock
 * @param rejection the response to a rejected request, or null for a request to serve
 */
record ReceivedRequest(ClientRequest request, boolean isKeepAlive, long arrivedAtUs, RequestRejection rejection) {
    /** An estimate of the memory that a request takes up besides its texts and its body. */
    static final int OVERHEAD_BYTES = 512;

    static ReceivedRequest complete(RequestHead head, byte[] body, long arrivedAtUs) {
        ClientRequest request = head.request() == null ? null : head.request().withBody(body);
        return new ReceivedRequest(request, head.isKeepAlive(), arrivedAtUs, null);
    }

    static ReceivedRequest rejected(RequestRejection rejection, long arrivedAtUs) {
        return new ReceivedRequest(null, !rejection.closesConnection(), arrivedAtUs, rejection);
    }

    static ReceivedRequest rejectedForLackOfMemory(boolean isKeepAlive, long arrivedAtUs) {
        return new ReceivedRequest(null, isKeepAlive, arrivedAtUs, RequestRejection.FOR_LACK_OF_MEMORY);
    }

    /** Returns the rejection of this request for lack of memory, or this request if it is rejected already. */
    ReceivedRequest rejectedForLackOfMemory() {
        return rejection == null ? rejectedForLackOfMemory(isKeepAlive, arrivedAtUs) : this;
    }

    /** Returns whether the response is the same as to the other request, and the connection stays open after both. */
    boolean isRejectedLike(ReceivedRequest other) {
        return rejection != null && rejection.equals(other.rejection) && isKeepAlive && other.isKeepAlive;
    }

    /** Returns an estimate of the memory that the request takes up. */
    int heldBytes() {
        return OVERHEAD_BYTES + (request == null ? 0 : request.heldBytes());
    }
}

package loadbalancer.proxy.downstream;

/** The phases of a client connection: whether it serves a request, and whether it will serve further requests. */
enum ClientConnectionPhase {
    /** No request is being served, and the next request will be served. */
    IDLE,
    /** A request is being served, and the connection stays open after its response. */
    SERVING,
    /** A request is being served, and the connection closes after its response. */
    SERVING_LAST,
    /** No request is being served, and no further request will be served. */
    CLOSING;

    /** Returns whether a request is being served, which includes writing its response. */
    boolean isServing() {
        return this == SERVING || this == SERVING_LAST;
    }

    /** Returns whether further requests will be served. */
    boolean isKeepAlive() {
        return this == IDLE || this == SERVING;
    }

    /**
     * Returns the phase after the connection begins to serve a request.
     *
     * @throws IllegalStateException unless the connection is idle
     */
    ClientConnectionPhase onRequest() {
        if (this != IDLE) {
            throw new IllegalStateException("cannot serve a request in connection phase " + this);
        }
        return SERVING;
    }

    /** Returns the phase after the response has been written or its write has failed. */
    ClientConnectionPhase onResponseWritten() {
        return isKeepAlive() ? IDLE : CLOSING;
    }

    /** Returns the phase after the decision to serve no further request. */
    ClientConnectionPhase withoutFurtherRequests() {
        return isServing() ? SERVING_LAST : CLOSING;
    }
}

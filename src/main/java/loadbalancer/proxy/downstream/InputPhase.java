package loadbalancer.proxy.downstream;

/** The phases of the input from a client, which decide how received bytes are treated. */
enum InputPhase {
    /** No request has arrived in part. */
    BETWEEN_REQUESTS,
    /** A request has arrived in part. */
    IN_REQUEST,
    /** Bytes are discarded. */
    CLOSED,
    /** Bytes are discarded, and a request had arrived in part when the input closed. */
    CLOSED_IN_REQUEST;

    /** Returns whether received bytes are discarded. */
    boolean isClosed() {
        return this == CLOSED || this == CLOSED_IN_REQUEST;
    }

    /** Returns whether a request has arrived in part. */
    boolean hasPartialRequest() {
        return this == IN_REQUEST || this == CLOSED_IN_REQUEST;
    }

    /**
     * Returns the phase after bytes have arrived.
     *
     * @throws IllegalStateException if the input is closed
     */
    InputPhase onBytes() {
        if (isClosed()) {
            throw new IllegalStateException("cannot read bytes in input phase " + this);
        }
        return IN_REQUEST;
    }

    /**
     * Returns the phase after all bytes of a read have been decoded.
     *
     * @param hasPartialRequest whether the last request among these bytes is incomplete
     */
    InputPhase onBytesDecoded(boolean hasPartialRequest) {
        if (isClosed()) {
            return CLOSED;
        }
        return hasPartialRequest ? IN_REQUEST : BETWEEN_REQUESTS;
    }

    /** Returns the phase after the request that has arrived in part has been rejected. */
    InputPhase onRequestRejected() {
        return CLOSED;
    }

    /** Returns the phase after the input has been closed. */
    InputPhase onClosed() {
        return hasPartialRequest() ? CLOSED_IN_REQUEST : CLOSED;
    }
}

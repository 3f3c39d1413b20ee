package loadbalancer.proxy.downstream;

/** The phases of the {@link DownstreamServer}, from serving to the end of a graceful shutdown. */
enum ServerPhase {
    /** The server accepts connections and keeps them alive. */
    SERVING,
    /** The readiness check fails. The server still accepts connections for a short time and keeps them alive. */
    DRAINING,
    /** The server accepts no connections, and each open connection closes with its next response. */
    CLOSING;

    /** Returns the phase after a graceful shutdown has been requested, which may happen more than once. */
    ServerPhase onShutdownRequested() {
        return this == SERVING ? DRAINING : this;
    }

    /**
     * Returns the phase after the time for further requests is over.
     *
     * @throws IllegalStateException if no graceful shutdown has been requested
     */
    ServerPhase onServingTimeOver() {
        if (this == SERVING) {
            throw new IllegalStateException("cannot close connections in server phase " + this);
        }
        return CLOSING;
    }
}

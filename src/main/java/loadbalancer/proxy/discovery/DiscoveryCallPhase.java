package loadbalancer.proxy.discovery;

/** The phases of a {@link DiscoveryCall}, in the order in which a call passes through them. */
enum DiscoveryCallPhase {
    /** The connection is being opened. */
    CONNECTING,
    /** The request has been sent, and no endpoint list or heartbeat has been accepted yet. */
    AWAITING_FIRST_MESSAGE,
    /** An endpoint list or a heartbeat has been accepted, and further changes and heartbeats follow. */
    WATCHING,
    /** The call has ended. */
    CLOSED;

    /**
     * Returns the next phase.
     *
     * @throws IllegalStateException if the next phase must not follow this one
     */
    DiscoveryCallPhase transitionTo(DiscoveryCallPhase next) {
        boolean isAllowed =
                switch (next) {
                    case CONNECTING -> false;
                    case AWAITING_FIRST_MESSAGE -> this == CONNECTING;
                    case WATCHING -> this == AWAITING_FIRST_MESSAGE;
                    case CLOSED -> this != CLOSED;
                };
        if (!isAllowed) {
            throw new IllegalStateException("illegal transition of a discovery call from " + this + " to " + next);
        }
        return next;
    }
}

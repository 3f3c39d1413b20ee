package loadbalancer.proxy.discovery;

import loadbalancer.proxy.config.EndpointList;

/** The version of the endpoint list that the proxy has, and whether a call can request only the changes after it. */
final class EndpointListVersion {
    /** In place of a version if the complete list must be requested. */
    static final long NONE = -1;

    private enum State {
        /** Versions of the current discovery compare with this one. */
        COMPARABLE,
        /** Discovery has moved or has restarted its versions; the next list replaces this version whatever its own is. */
        OUTDATED
    }

    private long number;
    private State state = State.COMPARABLE;

    /** Creates the version of the cached endpoint list. */
    EndpointListVersion(long number) {
        this.number = number;
    }

    /** The number of the last accepted version. */
    long number() {
        return number;
    }

    /** The version after which changes can be requested, or {@link #NONE}. */
    long comparableOrNone() {
        return isComparable() ? number : NONE;
    }

    /** Whether versions of the current discovery compare with this one. */
    boolean isComparable() {
        return state == State.COMPARABLE;
    }

    /** Discovery has moved: its versions do not compare with this one. */
    void onDiscoveryMoved() {
        state = State.OUTDATED;
    }

    /**
     * Accepts a list of the current discovery, or rejects it if its version is lower than this one. A late list, or one of
     * a discovery that has restarted its versions, may be older than what is known of draining endpoints. A complete list
     * as the first message of a call is accepted whatever its version.
     *
     * @return whether the list can be applied
     */
    boolean accept(EndpointList list, boolean isFirstMessage) {
        if (isComparable() && list.version() < number && !(isFirstMessage && list.isComplete())) {
            state = State.OUTDATED;
            return false;
        }
        number = list.version();
        state = State.COMPARABLE;
        return true;
    }
}

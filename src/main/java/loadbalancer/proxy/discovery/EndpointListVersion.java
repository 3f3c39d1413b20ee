package loadbalancer.proxy.discovery;

import loadbalancer.proxy.config.EndpointList;

/** The version of the proxy's endpoint list, and whether a call can request only the changes after that version. */
final class EndpointListVersion {
    /** The value that is used instead of a version if the complete list must be requested. */
    static final long NONE = -1;

    private enum State {
        /** Versions of the current discovery can be compared with this one. */
        COMPARABLE,
        /**
         * Discovery has another address or has restarted its versions. The next list is accepted whatever its version
         * is.
         */
        OUTDATED
    }

    private long number;
    private State state = State.COMPARABLE;

    /** Creates the version of the cached endpoint list. */
    EndpointListVersion(long number) {
        this.number = number;
    }

    /** Returns the number of the last accepted version, even if it is outdated. */
    long number() {
        return number;
    }

    /** Returns the version after which changes can be requested, or {@link #NONE}. */
    long comparableOrNone() {
        return isComparable() ? number : NONE;
    }

    /** Returns whether versions of the current discovery can be compared with this one. */
    boolean isComparable() {
        return state == State.COMPARABLE;
    }

    /** Marks this version as outdated, because versions of discovery at another address cannot be compared with it. */
    void onDiscoveryMoved() {
        state = State.OUTDATED;
    }

    /**
     * Accepts a list of the current discovery, or rejects it if its version is lower than this one. A list with a lower
     * version is late, or discovery has restarted its versions; the list may lack endpoints that the proxy already
     * knows to be draining. A complete list that is the first message of a call is accepted whatever its version is.
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

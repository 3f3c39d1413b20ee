package loadbalancer.policy.discovery;

/** The behaviors with which {@link VirtualDiscovery} responds to a call. */
enum CallBehavior {
    /** No message arrives: connecting hangs, or discovery sends nothing, or only the header of a response. */
    HANGS,
    /** Discovery is not reachable, so the connection is refused. */
    CONNECTION_REFUSED,
    /** The call fails immediately: a reset, a response with status 503, or a malformed list. */
    FAILS_IMMEDIATELY,
    /** Discovery responds with status 503 after 2 s. */
    FAILS_AFTER_2_SECONDS,
    /** Discovery responds with status 503 after 3 s. */
    FAILS_AFTER_3_SECONDS,
    /** Discovery sends a list and completes the response after 1 s. */
    WATCH_ENDS,
    /** Discovery sends a list and resets the watch after 1 s. */
    WATCH_IS_RESET,
    /** Discovery sends a part of a list and then resets the call. */
    PARTIAL_LIST,
    /** Discovery sends a list and no further message. */
    WATCH_HANGS,
    /** Discovery sends a heartbeat as the first message and then completes the response. */
    HEARTBEAT_AND_END,
    /** Discovery queues the call, sends a list and then completes the response. */
    QUEUED_AND_ENDS,
    /** No message arrives, and after 0.5 s a signal tells that discovery has another address. */
    DISCOVERY_MOVES,
    /** Discovery queues the call and sends a list, and the call stays open as the watch. */
    SERVED
}

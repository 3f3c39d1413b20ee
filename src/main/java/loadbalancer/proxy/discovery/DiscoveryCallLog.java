package loadbalancer.proxy.discovery;

import loadbalancer.policy.discovery.DiscoveryCallId;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;
import loadbalancer.proxy.resources.Clock;

/** Times the steps of a call to discovery and logs its changes of state and its endpoint lists. */
final class DiscoveryCallLog {
    private static final long NOT_REACHED = 0;

    private final DiscoveryCallId call;
    private final Clock clock;
    private final long openedAtUs;
    private long connectedAtUs = NOT_REACHED;
    private long respondedAtUs = NOT_REACHED;
    private long firstByteAtUs = NOT_REACHED;
    private long firstMessageAtUs = NOT_REACHED;

    /** Creates the log of a call that is opened now. */
    DiscoveryCallLog(DiscoveryCallId call, Clock clock) {
        this.call = call;
        this.clock = clock;
        openedAtUs = clock.nowUs();
    }

    /** The connection is open. */
    void onConnected() {
        connectedAtUs = clock.nowUs();
    }

    /** The header of the response has arrived. */
    void onResponse() {
        respondedAtUs = clock.nowUs();
    }

    /** Bytes of the response's body have arrived. */
    void onBytes() {
        if (firstByteAtUs == NOT_REACHED) {
            firstByteAtUs = clock.nowUs();
        }
    }

    /** The first endpoint list or heartbeat has arrived. */
    void onFirstMessage(String kind, long currentVersion) {
        firstMessageAtUs = clock.nowUs();
        logState("watching", kind, currentVersion);
    }

    /** The call ends. */
    void onClosed(String reason, long currentVersion) {
        logState("closed", reason, currentVersion);
    }

    private void logState(String state, String reason, long currentVersion) {
        EventLog.event(LogEvent.named("discovery_call")
                .with("call", call.number())
                .with("state", state)
                .with("reason", reason)
                .with("version", currentVersion)
                .with("age_us", clock.nowUs() - openedAtUs)
                .with("connected_us", sinceOpened(connectedAtUs))
                .with("status_us", sinceOpened(respondedAtUs))
                .with("first_byte_us", sinceOpened(firstByteAtUs))
                .with("first_message_us", sinceOpened(firstMessageAtUs)));
    }

    /** Microseconds since the call was opened, or -1 if the step was not reached. */
    private long sinceOpened(long atUs) {
        return atUs == NOT_REACHED ? -1 : atUs - openedAtUs;
    }

    /** A list could not be decoded. */
    void onMalformedList() {
        EventLog.event(LogEvent.named("endpoint_list").with("action", "dropped").with("call", call.number()));
    }

    /** A list was applied, or dropped because of its version. */
    void onList(EndpointList list, boolean isApplied, long currentVersion) {
        if (list.endpoints().isEmpty() && !list.isComplete()) {
            return;
        }
        EventLog.event(LogEvent.named("endpoint_list")
                .with("action", isApplied ? "applied" : "dropped")
                .with("call", call.number())
                .with("version", list.version())
                .with("current_version", currentVersion)
                .with("complete", list.isComplete())
                .with("entries", list.endpoints().size())
                .with("unavailable", list.unavailableIds()));
    }
}

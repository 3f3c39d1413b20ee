package loadbalancer.proxy.discovery;

import loadbalancer.policy.discovery.DiscoveryCallId;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;
import loadbalancer.proxy.resources.Clock;

/** Records the times of the steps of a call to discovery, and logs the state changes and endpoint lists of the call. */
final class DiscoveryCallLog {
    private static final long NOT_REACHED = 0;

    private final DiscoveryCallId call;
    private final Clock clock;
    private final long openedAtUs;
    private long connectedAtUs = NOT_REACHED;
    private long responseHeaderAtUs = NOT_REACHED;
    private long firstByteAtUs = NOT_REACHED;
    private long firstMessageAtUs = NOT_REACHED;

    /** Creates the log of a call that is being opened now. */
    DiscoveryCallLog(DiscoveryCallId call, Clock clock) {
        this.call = call;
        this.clock = clock;
        openedAtUs = clock.nowUs();
    }

    /** Records that the connection is open. */
    void onConnected() {
        connectedAtUs = clock.nowUs();
    }

    /** Records that the header of the response has arrived. */
    void onResponseHeader() {
        responseHeaderAtUs = clock.nowUs();
    }

    /** Records the arrival of bytes of the response's body, if they are the first ones. */
    void onContentBytes() {
        if (firstByteAtUs == NOT_REACHED) {
            firstByteAtUs = clock.nowUs();
        }
    }

    /** Records and logs the first message: an endpoint list or a heartbeat, as the kind says. */
    void onFirstMessage(String kind, long currentVersion) {
        firstMessageAtUs = clock.nowUs();
        logState("watching", kind, currentVersion);
    }

    /** Logs that the call is closed. */
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
                .with("connected_us", sinceOpenedUs(connectedAtUs))
                .with("status_us", sinceOpenedUs(responseHeaderAtUs))
                .with("first_byte_us", sinceOpenedUs(firstByteAtUs))
                .with("first_message_us", sinceOpenedUs(firstMessageAtUs)));
    }

    /** Returns the time from opening the call to a step, or -1 if the call did not reach the step. */
    private long sinceOpenedUs(long stepAtUs) {
        return stepAtUs == NOT_REACHED ? -1 : stepAtUs - openedAtUs;
    }

    /** Logs a list that is dropped because it is malformed. */
    void onMalformedList() {
        EventLog.event(LogEvent.named("endpoint_list").with("action", "dropped").with("call", call.number()));
    }

    /** Logs a list that was applied, or dropped because of its version. Does not log a list without changes. */
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

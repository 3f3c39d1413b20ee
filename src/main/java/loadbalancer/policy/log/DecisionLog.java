package loadbalancer.policy.log;

import loadbalancer.policy.LoadBalancerActions;

/** Passes events on to the caller's log, at most one per second; further events are dropped. */
public final class DecisionLog {
    private static final long MIN_INTERVAL_US = 1_000_000;

    private final LoadBalancerActions actions;
    private long nextRecordAtUs;

    /** Creates a log that records events through these actions. */
    public DecisionLog(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /** Records an event, or drops it if another event was recorded less than a second earlier. */
    public void record(PolicyEvent event, long nowUs) {
        if (nowUs >= nextRecordAtUs) {
            nextRecordAtUs = nowUs + MIN_INTERVAL_US;
            actions.record(event);
        }
    }
}

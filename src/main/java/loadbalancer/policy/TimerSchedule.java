package loadbalancer.policy;

/** The single timer that the module has set with its caller. */
final class TimerSchedule {
    private static final long NO_TIMER = Long.MAX_VALUE;

    /** Delay of a timer beyond which the process is assumed to have been suspended. */
    private static final long SUSPENSION_THRESHOLD_US = 50_000;

    private final LoadBalancerActions actions;
    private long pendingAtUs = NO_TIMER;

    TimerSchedule(LoadBalancerActions actions) {
        this.actions = actions;
    }

    /**
     * Notes that a timer has fired. The pending timer stays set if it is not due yet, which is the case if an earlier
     * timer that it replaced has fired.
     *
     * @return whether the pending timer is so late that the process is assumed to have been suspended
     */
    boolean onFired(long nowUs) {
        boolean wasSuspended = pendingAtUs != NO_TIMER && nowUs > pendingAtUs + SUSPENSION_THRESHOLD_US;
        if (nowUs >= pendingAtUs) {
            pendingAtUs = NO_TIMER;
        }
        return wasSuspended;
    }

    /** Sets the timer, to a time after {@code nowUs}, unless the pending timer is due at {@code atUs} or earlier. */
    void schedule(long atUs, long nowUs) {
        if (atUs < pendingAtUs) {
            pendingAtUs = Math.max(atUs, nowUs + 1);
            actions.setTimer(pendingAtUs);
        }
    }
}

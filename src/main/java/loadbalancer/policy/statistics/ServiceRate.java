package loadbalancer.policy.statistics;

/** The rate of successful responses at this instance, as the running mean of the time between two of them. */
public final class ServiceRate {
    /** Assumed mean interval before the first response. */
    private static final double INITIAL_INTERVAL_US = 50_000;

    private double meanIntervalUs = INITIAL_INTERVAL_US;
    private long intervalStartedAtUs;

    /** Starts the first interval when the first attempt starts. */
    public void onAttemptStarted(long nowUs) {
        if (intervalStartedAtUs == 0) {
            intervalStartedAtUs = nowUs;
        }
    }

    /** Ends an interval at a successful response and starts the next one. */
    public void onSuccess(long nowUs) {
        meanIntervalUs += LatencyStatistics.MEAN_GAIN * (nowUs - intervalStartedAtUs - meanIntervalUs);
        intervalStartedAtUs = nowUs;
    }

    /** Returns the mean interval, or a longer one if the last response was long ago. */
    public double intervalUs(long nowUs) {
        return Math.max(meanIntervalUs, LatencyStatistics.MEAN_GAIN * (nowUs - intervalStartedAtUs));
    }
}

package loadbalancer.policy.model;

/**
 * The concurrency limit of an endpoint and this instance's requests in flight there. The concurrency limiter maintains
 * this state, apart from the reset for a new incarnation and the record of attempts with a response.
 */
public final class EndpointConcurrency {
    private static final double SLOWNESS_OF_NEW_INCARNATION = 1;

    private int inFlight;
    private double limit;
    private long limitCutAtUs;
    private long limitReachedAtUs;
    private long pausedUntilUs;
    private long pauseUs;
    private long newestRespondedAttemptStartedAtUs;
    private double slowness;

    /** Discards the limit and slowness of an earlier incarnation; requests in flight stay counted. */
    public void resetLimit() {
        limit = 0;
        slowness = SLOWNESS_OF_NEW_INCARNATION;
    }

    /** Returns this instance's requests in flight at the endpoint, not counting those considered lost. */
    public int inFlight() {
        return inFlight;
    }

    public void incrementInFlight() {
        inFlight++;
    }

    public void decrementInFlight() {
        inFlight--;
    }

    /**
     * Returns how many requests may be in flight, or 0 before the limit is set. A limit below 1 is the share of time
     * during which one request may be in flight.
     */
    public double limit() {
        return limit;
    }

    public void setLimit(double newLimit) {
        limit = newLimit;
    }

    /** Returns when the limit was last cut, or 0 if never. */
    public long limitCutAtUs() {
        return limitCutAtUs;
    }

    /** Lowers the limit and records the time of the cut. */
    public void cutLimit(double newLimit, long nowUs) {
        limit = newLimit;
        limitCutAtUs = nowUs;
    }

    /**
     * Returns when a request within its tenant's quota last found no capacity for an attempt at the endpoint, or 0 if
     * never.
     */
    public long limitReachedAtUs() {
        return limitReachedAtUs;
    }

    public void setLimitReachedAtUs(long atUs) {
        limitReachedAtUs = atUs;
    }

    /** Returns the time until which a limit below 1 admits no further request. */
    public long pausedUntilUs() {
        return pausedUntilUs;
    }

    /** Returns the duration of the pause that ends at {@link #pausedUntilUs}. */
    public long pauseUs() {
        return pauseUs;
    }

    /**
     * Pauses the endpoint after an attempt. A pause that overlaps an earlier one starts at the end of the earlier one.
     *
     * @param attemptStartedAtUs the start time of the attempt, from which a pause without overlap counts
     * @param durationUs the duration of the pause
     */
    public void pause(long attemptStartedAtUs, long durationUs) {
        pauseUs = durationUs;
        pausedUntilUs = Math.max(pausedUntilUs, attemptStartedAtUs) + durationUs;
    }

    /** Returns the latest start time of all attempts that got a response, or 0 if there are none. */
    public long newestRespondedAttemptStartedAtUs() {
        return newestRespondedAttemptStartedAtUs;
    }

    /** Records that an attempt that started at this time got a response. */
    public void recordRespondedAttempt(long attemptStartedAtUs) {
        newestRespondedAttemptStartedAtUs = Math.max(newestRespondedAttemptStartedAtUs, attemptStartedAtUs);
    }

    /** Returns the running mean of latency divided by the threshold for slow responses; from 1 on it means overload. */
    public double slowness() {
        return slowness;
    }

    /**
     * Updates the running mean of slowness.
     *
     * @param gain the weight of the new value, from 0 to 1
     */
    public void recordSlowness(double value, double gain) {
        slowness += gain * (value - slowness);
    }
}

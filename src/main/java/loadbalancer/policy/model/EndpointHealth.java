package loadbalancer.policy.model;

/**
 * The recent results of an endpoint, for all its requests or for one request class, and whether it is ejected for them.
 * Outlier detection maintains this state, apart from the time of the last response.
 */
public final class EndpointHealth {
    /** Number of recent results that are kept. */
    public static final int HISTORY_LENGTH = 16;

    private static final int HISTORY_MASK = (1 << HISTORY_LENGTH) - 1;

    /** One bit per result, 1 for a failure; the lowest bit is the latest result. */
    private int history;

    private boolean ejected;
    private long probationAtUs;
    private long ejectionDurationUs;
    private int probationSuccesses;
    private long lastResponseAtUs;
    private long lastSuccessAtUs;

    /** Returns the number of failures among the last {@link #HISTORY_LENGTH} results. */
    public int recentFailures() {
        return Integer.bitCount(history & HISTORY_MASK);
    }

    /** Records a failure and sets the count of probation successes back to 0. */
    public void recordFailure() {
        history = history << 1 | 1;
        probationSuccesses = 0;
    }

    /** Records a success; while the endpoint is ejected, the next probation attempt may then follow at once. */
    public void recordSuccess(long nowUs) {
        history <<= 1;
        lastSuccessAtUs = nowUs;
        probationAtUs = nowUs;
        if (ejected) {
            probationSuccesses++;
        }
    }

    /** Records the time of a response, whether a success or an error. */
    public void recordResponse(long nowUs) {
        lastResponseAtUs = nowUs;
    }

    /**
     * Ejects the endpoint or extends its ejection.
     *
     * @param durationUs the mean duration of the ejection, around which {@code untilUs} varies at random
     * @param untilUs the earliest time of the next probation attempt
     */
    public void eject(long durationUs, long untilUs) {
        ejected = true;
        ejectionDurationUs = durationUs;
        probationAtUs = untilUs;
    }

    /** Discards the recent results and ends an ejection. */
    public void reset() {
        history = 0;
        ejected = false;
        probationSuccesses = 0;
    }

    /** Returns whether the endpoint gets only probation attempts. */
    public boolean isEjected() {
        return ejected;
    }

    /** Returns the mean duration with which the endpoint was last ejected. */
    public long ejectionDurationUs() {
        return ejectionDurationUs;
    }

    /** Returns the earliest time of the next probation attempt. */
    public long probationAtUs() {
        return probationAtUs;
    }

    /** Returns the number of successive probation attempts that succeeded. */
    public int probationSuccesses() {
        return probationSuccesses;
    }

    /** Returns the time of the last response, whether a success or an error; 0 if there was none. */
    public long lastResponseAtUs() {
        return lastResponseAtUs;
    }

    /** Returns the time of the last success; 0 if there was none. */
    public long lastSuccessAtUs() {
        return lastSuccessAtUs;
    }
}

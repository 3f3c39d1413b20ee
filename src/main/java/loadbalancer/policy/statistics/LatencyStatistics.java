package loadbalancer.policy.statistics;

/** Running means of the latency of successful attempts, by request class. */
public final class LatencyStatistics {
    /** Weight of a new value in a running mean; until the mean has 32 values, all of them have equal weights. */
    static final double MEAN_GAIN = 1.0 / 32;

    /** Share of a mean's window that results must fill before the mean is reliable; with fewer, it is mostly chance. */
    private static final double RELIABLE_WINDOW_SHARE = 0.5;

    /** Growth of the lowest mean with each result, so that it adapts to a lasting change of the requests' work. */
    private static final double LOWEST_MEAN_GROWTH_FACTOR = 1.0001;

    /** Share of the mean above which a latency is slower than most: latencies are skewed, so their median is lower. */
    private static final double SLOW_MEAN_SHARE = 0.8;

    private final double[] meanUs;
    private final double[] lowestMeanUs;
    private final int[] resultCounts;

    /**
     * Creates statistics without results.
     *
     * @param classCount the number of request classes
     */
    public LatencyStatistics(int classCount) {
        meanUs = new double[classCount];
        lowestMeanUs = new double[classCount];
        resultCounts = new int[classCount];
    }

    /** Records the latency of a successful attempt of a request class. */
    public void record(int classIndex, long latencyUs) {
        resultCounts[classIndex]++;
        double gain = Math.max(MEAN_GAIN, 1.0 / resultCounts[classIndex]);
        meanUs[classIndex] += gain * (latencyUs - meanUs[classIndex]);
        lowestMeanUs[classIndex] = isMeanReliable(classIndex)
                ? Math.min(lowestMeanUs[classIndex] * LOWEST_MEAN_GROWTH_FACTOR, meanUs[classIndex])
                : Double.MAX_VALUE;
    }

    /** Returns the mean latency of a class; 0 before the first result. */
    public double meanUs(int classIndex) {
        return meanUs[classIndex];
    }

    /**
     * Returns the lowest value of a class's mean since it became reliable, which grows slightly with each result;
     * {@link Double#MAX_VALUE} while the mean is not reliable, and 0 before the first result.
     */
    public double lowestMeanUs(int classIndex) {
        return lowestMeanUs[classIndex];
    }

    public boolean hasResults(int classIndex) {
        return resultCounts[classIndex] > 0;
    }

    /** Returns whether a class has enough results for its mean to be more than chance. */
    public boolean isMeanReliable(int classIndex) {
        return resultCounts[classIndex] * MEAN_GAIN >= RELIABLE_WINDOW_SHARE;
    }

    /** Returns whether a latency is higher than that of most attempts of its class. */
    public boolean isSlowerThanMost(int classIndex, long latencyUs) {
        return latencyUs > SLOW_MEAN_SHARE * meanUs[classIndex];
    }
}

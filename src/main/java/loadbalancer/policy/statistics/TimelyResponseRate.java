package loadbalancer.policy.statistics;

/** The running share of attempts with a successful response within the latency objective. */
public final class TimelyResponseRate {
    /** Weight of a new result; large, so that the share follows an overload quickly. */
    public static final double GAIN = 1.0 / 8;

    private static final double INITIAL_SHARE = 0.75;

    private double share = INITIAL_SHARE;

    /** Records whether the response to an attempt was successful and within the latency objective. */
    public void record(boolean timely) {
        share += GAIN * ((timely ? 1 : 0) - share);
    }

    /** Returns the share of timely responses, from 0 to 1. */
    public double share() {
        return share;
    }
}

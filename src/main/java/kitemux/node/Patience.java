package kitemux.node;

import kitemux.Balancer.Settings;

/**
 * How long a watch on discovery may say nothing. What a silent watch misses counts as told some time after
 * it fell silent, so all calls that follow a silence share that time, and none has a fresh one of its own.
 *
 * @param silenceUs after so long without a word a watch that has spoken is broken
 * @param toldUs after so long what it has missed counts as told
 * @param leastUs how long a call is waited for at least, however late it is
 * @param callUs how long a call is waited for that follows no silence, or one that is over that time
 */
record Patience(long silenceUs, long toldUs, long leastUs, long callUs) {
    /** For {@link #firstWordUs}: discovery has not said anything yet. */
    static final long NEVER = Long.MIN_VALUE / 2;
    /** Discovery writes every 2 s; half of that is for its being late. */
    private static final long SILENCE_US = 3_000_000;
    /** By the users' terms for silence. */
    private static final long TOLD_US = 6_000_000;
    /** An answer takes some tens of milliseconds where discovery is not crowded. */
    private static final long LEAST_US = 1_000_000;
    /** A third of {@link #TOLD_US}: a call that hangs as discovery comes back, the module's longest wait of
     * 1.5 s and one more call fit into it. */
    private static final long CALL_US = 2_000_000;

    /** Two calls fit into the time that the settings give for asking, where that is how lists are had. */
    static Patience of(Settings settings) {
        long call = !settings.listOnRequest ? LEAST_US
                : Math.max(LEAST_US, Math.min(CALL_US, settings.askWithinUs / 2));
        return new Patience(SILENCE_US, TOLD_US, LEAST_US, call);
    }

    /**
     * How long the first word on a new watch may take, the dial included: half of what is left since the
     * last word, so that a call that fails can be made again.
     */
    long firstWordUs(long nowUs, long heardAtUs) {
        long left = heardAtUs + toldUs - nowUs;
        return left <= 0 ? callUs : Math.max(leastUs, Math.min(callUs, left / 2));
    }
}

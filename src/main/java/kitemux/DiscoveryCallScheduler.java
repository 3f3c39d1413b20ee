package kitemux;

import java.util.LinkedHashMap;
import java.util.List;

/**
 * Decides when a node calls discovery and which of its calls it keeps. A call asks for all changes since the last
 * list; the first to say something becomes the watch, on which later changes come.
 *
 * <p>A change counts as notified 6 s after discovery had it and could be reached, whatever failed before. So what
 * must be bounded is the time from any moment to the next call, not that of a single call: a call may hang for good,
 * or wait for its turn in a discovery that many call. While there is no watch, or the watch is silent, another call
 * begins beside one that has not said anything for some time, and that one goes on waiting: ending a call that waits
 * for its turn would cost its place. The first that says something wins, and the others are closed. At most
 * {@value #MOST_PENDING} calls wait at once.
 *
 * <p>A discovery that refuses calls, or lets them wait, is crowded, and calls beside calls would crowd it more: there
 * a call is given the time that discovery itself allows for a turn. Refusals cost discovery time as well, so the
 * waits behind them grow with the fleet, by which the calls of all nodes together come no faster.
 *
 * <p>All times are microseconds of the node's monotonic clock. The class has no clock, sockets or timers of its own.
 */
public final class DiscoveryCallScheduler {
    /** {@link #wakeAtUs} where nothing is to be done until something is reported. */
    public static final long NEVER = Long.MAX_VALUE;

    /** Calls that wait for their first word at the same time: so none is closed that may still have its turn. */
    private static final int MOST_PENDING = 3;

    private static final long NO_CALL = -1;

    /** What the scheduler asks for; calls are named by numbers that are never used again. */
    public interface Calls {
        /** Begin a call. */
        void open(long call);

        /** End a call, which is not reported as failed. */
        void close(long call, String reason);
    }

    /** Draws from a range, both ends included. */
    public interface Jitter {
        long between(long least, long most);
    }

    /**
     * The times that bind, in microseconds.
     *
     * @param hedgeAfterUs after so long without a word on a call, at most, another one begins beside it
     * @param crowdedHedgeAfterUs the same where discovery is crowded
     * @param silenceUs after so long without a word a watch is taken for silent
     * @param longestStartUs the longest wait before the first call
     * @param longestFirstWaitUs the longest wait after a watch has ended
     * @param longestWaitUs the longest wait after a call has failed
     */
    public record Timing(
            long hedgeAfterUs,
            long crowdedHedgeAfterUs,
            long silenceUs,
            long longestStartUs,
            long longestFirstWaitUs,
            long longestWaitUs) {
        private static final long LEAST_HEDGE_AFTER_US = 1_600_000;
        /** For each node: a fleet whose calls wait together must not double them before they are served. */
        private static final long HEDGE_PER_NODE_US = 20_000;
        /** A little more than discovery lets a call wait for its turn, which is 3 s. */
        private static final long CROWDED_HEDGE_AFTER_US = 3_050_000;
        /** Discovery writes every 2 s. A call too many is cheap, as the watch is kept beside it. */
        private static final long SILENCE_US = 2_500_000;

        private static final long SHORTEST_SPREAD_US = 375_000;
        private static final long LONGEST_WAIT_US = 3_300_000;
        private static final long LONGEST_FIRST_WAIT_US = 800_000;
        /** Of the longest waits, for each node: so all nodes together call about twenty times a second. */
        private static final long WAIT_PER_NODE_US = 100_000;

        private static final long FIRST_WAIT_PER_NODE_US = 8_000;
        /** Nodes that are started together: more calls than are served in time cost a discovery as many turns. */
        private static final long START_PER_NODE_US = 20_000;
        /** Up to this size the start is not spread: so many calls at once are served in time. */
        private static final int START_TOGETHER = 30;

        private static final long LONGEST_START_US = 2_000_000;

        /** What an agent that pushes lists gets counts at once: half of the grace to find it, half for its list. */
        private static final int GRACE_PARTS = 2;

        private static final long PUSHED_HEDGE_AFTER_US = 1_000_000;

        /** The times that follow from a site's settings. */
        public static Timing of(Balancer.Settings settings) {
            if (!settings.listOnRequest) {
                long wait = Math.max(1, settings.drainGraceUs / GRACE_PARTS);
                return new Timing(PUSHED_HEDGE_AFTER_US, PUSHED_HEDGE_AFTER_US, SILENCE_US, 0, wait, wait);
            }
            // Two calls fit into the time that the settings give for asking.
            long most = Math.max(1, settings.askWithinUs / 2);
            return new Timing(
                    Math.min(most, hedgeAfterUs(settings.nodes)),
                    Math.min(most, CROWDED_HEDGE_AFTER_US),
                    SILENCE_US,
                    settings.nodes <= START_TOGETHER
                            ? 0
                            : Math.min(most, Math.min(LONGEST_START_US, settings.nodes * START_PER_NODE_US)),
                    Math.min(most, spread(settings.nodes, FIRST_WAIT_PER_NODE_US, LONGEST_FIRST_WAIT_US)),
                    Math.min(most, spread(settings.nodes, WAIT_PER_NODE_US, LONGEST_WAIT_US)));
        }

        /** Whether a call more of every node at once would be more than a discovery serves in time. */
        boolean isForLargeFleet() {
            return longestStartUs > 0;
        }

        private static long hedgeAfterUs(int nodes) {
            return Math.min(CROWDED_HEDGE_AFTER_US, LEAST_HEDGE_AFTER_US + nodes * HEDGE_PER_NODE_US);
        }

        private static long spread(int nodes, long perNodeUs, long longestUs) {
            return Math.min(longestUs, Math.max(SHORTEST_SPREAD_US, nodes * perNodeUs));
        }
    }

    private static final long SHORTEST_WAIT_US = 100_000;

    /** A call that says nothing for so long waits its turn: discovery is crowded. */
    private static final long CROWDED_FROM_US = 500_000;
    /**
     * So long after the last word another call has to begin, crowded or not: the last moment from which one that
     * waits its turn still has its list in time, where the word was that of a process that was still starting.
     */
    private static final long LAST_CALL_AFTER_US = 2_700_000;
    /** But not so soon behind the one before. */
    private static final long LEAST_GAP_US = 1_000_000;

    private final Timing timing;
    private final Jitter jitter;
    private final Calls calls;

    /** Calls that have not said anything yet, the oldest first, with the times at which they began. */
    private final LinkedHashMap<Long, Long> pending = new LinkedHashMap<>();

    private long lastCall;
    private long watch = NO_CALL;
    /** The watch at the place where discovery was before, until a call to the new place says something. */
    private long watchElsewhere = NO_CALL;

    private long nextCallAtUs = NEVER;
    /** When discovery last said something, or the first call was made. */
    private long lastWordAtUs;
    /** Whether discovery has refused the last call or let it wait. */
    private boolean crowded;

    public DiscoveryCallScheduler(Timing timing, Jitter jitter, Calls calls) {
        this.timing = timing;
        this.jitter = jitter;
        this.calls = calls;
    }

    /** When {@link #wake} is due, or {@link #NEVER}. */
    public long wakeAtUs() {
        return nextCallAtUs;
    }

    /** Makes the first call, at once or soon. */
    public void start(long nowUs) {
        lastWordAtUs = nowUs;
        nextCallAtUs = nowUs + jitter.between(0, timing.longestStartUs);
        wake(nowUs);
    }

    /** Discovery is elsewhere from now on. The old watch is heard until the new place says something. */
    public void moved(long nowUs) {
        closePending("discovery has moved");
        if (watch != NO_CALL) {
            closeElsewhere();
            watchElsewhere = watch;
            watch = NO_CALL;
        }
        crowded = false;
        open(nowUs);
    }

    /** A call has said something: a list, or that nothing has changed. */
    public void heard(long nowUs, long call) {
        if (call == watchElsewhere) {
            return;
        }
        if (call != watch) {
            Long beganAtUs = pending.remove(call);
            crowded = beganAtUs == null || nowUs - beganAtUs > CROWDED_FROM_US;
            if (watch != NO_CALL) {
                calls.close(watch, "a newer call has spoken");
            }
            watch = call;
            closeElsewhere();
        }
        closePending("the watch has spoken");
        lastWordAtUs = nowUs;
        nextCallAtUs = nowUs + timing.silenceUs;
    }

    /**
     * A call has failed, or a watch has ended.
     *
     * @param refused whether discovery was there and refused it
     */
    public void failed(long nowUs, long call, boolean refused) {
        crowded |= refused;
        if (call == watchElsewhere) {
            watchElsewhere = NO_CALL;
        } else if (call == watch) {
            watch = NO_CALL;
            if (pending.isEmpty()) {
                callWithin(nowUs, timing.longestFirstWaitUs);
            }
        } else if (pending.remove(call) != null && pending.isEmpty()) {
            callWithin(nowUs, timing.longestWaitUs);
        }
    }

    /** The time of {@link #wakeAtUs} has come. */
    public void wake(long nowUs) {
        if (nowUs >= nextCallAtUs) {
            open(nowUs);
        }
    }

    private void callWithin(long nowUs, long longestUs) {
        nextCallAtUs = Math.min(nextCallAtUs, nowUs + jitter.between(shortest(longestUs), longestUs));
    }

    /** Calls that fail together must not come together again: waits are spread over all of their range. */
    private static long shortest(long longestUs) {
        return Math.min(longestUs, SHORTEST_WAIT_US);
    }

    private void open(long nowUs) {
        if (pending.size() == MOST_PENDING) {
            long oldest = pending.keySet().iterator().next();
            pending.remove(oldest);
            calls.close(oldest, "silent");
        }
        long call = ++lastCall;
        pending.put(call, nowUs);
        nextCallAtUs = hedgeAtUs(nowUs);
        calls.open(call);
    }

    private long hedgeAtUs(long nowUs) {
        long hedgeUs =
                crowded ? timing.crowdedHedgeAfterUs : jitter.between(timing.hedgeAfterUs * 3 / 4, timing.hedgeAfterUs);
        long lastCallUs = lastWordAtUs + LAST_CALL_AFTER_US;
        boolean mayHurry = lastCallUs > nowUs && !timing.isForLargeFleet();
        return mayHurry ? Math.min(nowUs + hedgeUs, Math.max(lastCallUs, nowUs + LEAST_GAP_US)) : nowUs + hedgeUs;
    }

    private void closePending(String reason) {
        List<Long> waiting = List.copyOf(pending.keySet());
        pending.clear();
        waiting.forEach(call -> calls.close(call, reason));
    }

    private void closeElsewhere() {
        if (watchElsewhere != NO_CALL) {
            calls.close(watchElsewhere, "discovery has moved");
            watchElsewhere = NO_CALL;
        }
    }
}

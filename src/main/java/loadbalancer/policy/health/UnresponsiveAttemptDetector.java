package loadbalancer.policy.health;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/**
 * Detects attempts that have had no response for a multiple of the mean latency of their class. This reveals endpoints
 * that lose requests or responses even if clients disconnect before any timeout expires.
 */
public final class UnresponsiveAttemptDetector {
    /**
     * Multiple of the mean latency after which an attempt is unresponsive. Of exponentially distributed latencies, one
     * in fifty is longer.
     */
    private static final double UNRESPONSIVE_AFTER_MEAN_LATENCIES = 4;

    /** While the mean latency is not known, no check is due that would remove attempts that have ended. */
    private static final int MAX_UNCHECKED_ATTEMPTS = 1_024;

    /** Used while the mean latency is not known yet; small enough that a sum with a time does not overflow. */
    private static final long NEVER_US = Long.MAX_VALUE / 4;

    private final LoadBalancerSettings settings;
    private final LatencyStatistics latencies;
    /** The watched attempts by class, oldest first. */
    private final List<ArrayDeque<WatchedAttempt>> watched = new ArrayList<>();

    /** An attempt with its request; it may have ended since it was added. */
    private record WatchedAttempt(PendingRequest request, Attempt attempt) {
        boolean hasEnded() {
            return request.isFinished() || !attempt.isInFlight();
        }
    }

    /** Receiver of unresponsive attempts. */
    public interface Listener {
        /** Handles an attempt in flight that is unresponsive. Each attempt is reported at most once. */
        void onUnresponsiveAttempt(PendingRequest request, Attempt attempt, long nowUs);
    }

    /** Creates a detector without watched attempts. */
    public UnresponsiveAttemptDetector(LoadBalancerSettings settings, LatencyStatistics latencies) {
        this.settings = settings;
        this.latencies = latencies;
        settings.classes.forEach(requestClass -> watched.add(new ArrayDeque<>()));
    }

    /** Adds an attempt that has just begun. */
    public void watch(PendingRequest request, Attempt attempt) {
        ArrayDeque<WatchedAttempt> classAttempts = watched.get(request.classIndex());
        if (classAttempts.size() >= MAX_UNCHECKED_ATTEMPTS) {
            removeEnded(classAttempts);
        }
        classAttempts.add(new WatchedAttempt(request, attempt));
    }

    /** Removes the oldest attempts up to the first one that is in flight. */
    private static void removeEnded(ArrayDeque<WatchedAttempt> classAttempts) {
        while (!classAttempts.isEmpty() && classAttempts.peek().hasEnded()) {
            classAttempts.poll();
        }
    }

    /** Reports the attempts that have become unresponsive. The listener may call {@link #watch} meanwhile. */
    public void detect(Listener listener, long nowUs) {
        for (int c = 0; c < watched.size(); c++) {
            ArrayDeque<WatchedAttempt> classAttempts = watched.get(c);
            while (!classAttempts.isEmpty()) {
                WatchedAttempt oldest = classAttempts.peek();
                if (!oldest.hasEnded() && nowUs < unresponsiveAtUs(oldest, c)) {
                    break;
                }
                classAttempts.poll();
                if (!oldest.hasEnded()) {
                    listener.onUnresponsiveAttempt(oldest.request, oldest.attempt, nowUs);
                }
            }
        }
    }

    /**
     * Returns the time at which {@link #detect} has to be called next, but not before {@code earliestUs};
     * {@link Long#MAX_VALUE} if no attempt is watched.
     */
    public long nextCheckUs(long earliestUs) {
        long nextUs = Long.MAX_VALUE;
        for (int c = 0; c < watched.size(); c++) {
            WatchedAttempt oldest = watched.get(c).peek();
            if (oldest != null) {
                nextUs = Math.min(nextUs, Math.max(earliestUs, unresponsiveAtUs(oldest, c)));
            }
        }
        return nextUs;
    }

    /** Returns the number of attempts that the detector refers to, including some that have ended. */
    int watchedCount() {
        return watched.stream().mapToInt(ArrayDeque::size).sum();
    }

    private long unresponsiveAtUs(WatchedAttempt watchedAttempt, int classIndex) {
        return watchedAttempt.attempt.startedAtUs() + unresponsiveAfterUs(classIndex);
    }

    private long unresponsiveAfterUs(int classIndex) {
        return latencies.isMeanReliable(classIndex)
                ? (long) (UNRESPONSIVE_AFTER_MEAN_LATENCIES * latencies.meanUs(classIndex))
                        + 2 * settings.eventIntervalUs
                : NEVER_US;
    }
}

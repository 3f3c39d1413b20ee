package loadbalancer.policy.discovery;

import java.util.ArrayList;
import java.util.List;

/**
 * When the changes of the endpoint list that a proxy has not received count as notified, by the rules of the protocol.
 * All times are microseconds.
 */
final class NotificationRules {
    private static final long AFTER_CHANGE_US = 6_000_000;
    private static final long AFTER_SILENCE_US = 6_000_000;
    private static final long AFTER_WATCH_END_US = 2_000_000;
    private static final long AFTER_SIGNAL_US = 4_000_000;
    private static final long NEVER = Long.MAX_VALUE;

    /** A change that discovery has and the proxy has not received. */
    private static final class MissedChange {
        private long notifiedAtUs;
        /** Whether discovery could not be reached since it has the change. */
        private boolean isUnreachable;

        private void notifyBy(long latestUs) {
            notifiedAtUs = Math.min(notifiedAtUs, latestUs);
        }
    }

    private final boolean isPolled;
    private final List<MissedChange> missed = new ArrayList<>();
    private boolean isReachable = true;
    private boolean hasWatch;
    /** When the open watch fell silent, or {@link #NEVER}. */
    private long silentSinceUs = NEVER;
    /** When the last watch ended in order, unless another has been opened since, or {@link #NEVER}. */
    private long endedAtUs = NEVER;
    /** When the last signal told that discovery has moved, unless its new address has sent a list since. */
    private long signalledAtUs = NEVER;

    /** Creates the rules for lists that are polled, or pushed by an agent. */
    NotificationRules(boolean isPolled) {
        this.isPolled = isPolled;
    }

    /**
     * Returns how long after discovery has a change and can be reached it counts as notified at the latest. What an agent
     * pushes counts at once, but by the clock for silence with a watch that is open, and 4 s after a signal.
     */
    private long delayAfterChangeUs() {
        return isPolled || hasWatch || signalledAtUs != NEVER ? AFTER_CHANGE_US : 0;
    }

    /** Discovery has a change that it does not write to the proxy. */
    void onMissedChange(long nowUs) {
        MissedChange change = new MissedChange();
        change.notifiedAtUs = NEVER;
        change.isUnreachable = !isReachable;
        if (isReachable) {
            change.notifyBy(nowUs + delayAfterChangeUs());
        }
        if (silentSinceUs != NEVER) {
            change.notifyBy(Math.max(nowUs, silentSinceUs + AFTER_SILENCE_US));
        }
        if (endedAtUs != NEVER) {
            change.notifyBy(Math.max(nowUs, endedAtUs + AFTER_WATCH_END_US));
        }
        if (signalledAtUs != NEVER) {
            change.notifyBy(Math.max(nowUs, signalledAtUs + AFTER_SIGNAL_US));
        }
        missed.add(change);
    }

    /** The proxy has received all that discovery has, on a call that is the watch from now on. */
    void onListReceived() {
        missed.clear();
        hasWatch = true;
        silentSinceUs = NEVER;
        endedAtUs = NEVER;
        signalledAtUs = NEVER;
    }

    /** Discovery has begun to write what the proxy lacks. */
    void onPartlyWritten(long nowUs) {
        missed.forEach(change -> change.notifyBy(nowUs));
    }

    void onWatchSilent(long nowUs) {
        silentSinceUs = Math.min(silentSinceUs, nowUs);
    }

    void onWatchReset(long nowUs) {
        onNoWatch(nowUs);
    }

    void onWatchEnded(long nowUs) {
        missed.forEach(change -> change.notifyBy(nowUs + AFTER_WATCH_END_US));
        endedAtUs = nowUs;
        onNoWatch(nowUs);
    }

    /** What an agent has counts as notified whether or not a watch is open. */
    private void onNoWatch(long nowUs) {
        hasWatch = false;
        silentSinceUs = NEVER;
        if (!isPolled && isReachable) {
            onPartlyWritten(nowUs);
        }
    }

    void onSignal(long nowUs) {
        missed.forEach(change -> change.notifyBy(nowUs + AFTER_SIGNAL_US));
        signalledAtUs = nowUs;
        hasWatch = false;
        silentSinceUs = NEVER;
        endedAtUs = NEVER;
    }

    void onUnreachable() {
        isReachable = false;
    }

    /** Discovery can be reached again. What it got meanwhile counts from now on. */
    void onReachable(long nowUs) {
        isReachable = true;
        for (MissedChange change : missed) {
            if (change.isUnreachable) {
                change.isUnreachable = false;
                change.notifyBy(nowUs + delayAfterChangeUs());
            }
        }
    }

    /** Returns the time at which the first change that the proxy lacks counts as notified. */
    long firstNotificationUs() {
        return missed.stream().mapToLong(change -> change.notifiedAtUs).min().orElse(NEVER);
    }
}

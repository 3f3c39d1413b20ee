package loadbalancer.policy.discovery;

import loadbalancer.policy.LoadBalancerSettings;

/**
 * The durations, in microseconds, for which an {@link EndpointListLease} is valid after the events that renew or
 * shorten it.
 *
 * @param afterConfirmationUs the duration after a complete message of discovery
 * @param afterMoveUs the duration after a signal that discovery has another address, unless that address confirms a
 *     list
 * @param afterWatchEndUs the duration after discovery has completed the response of the watch
 * @param afterWatchResetUs the duration after the watch was reset
 * @param afterPartialListUs the duration after the first byte of a list, unless the rest of the list arrives
 */
public record EndpointListLeaseTerms(
        long afterConfirmationUs,
        long afterMoveUs,
        long afterWatchEndUs,
        long afterWatchResetUs,
        long afterPartialListUs) {
    /** The protocol counts a missed change as notified this long after the last message of the watch. */
    private static final long NOTIFICATION_DELAY_US = 6_000_000;

    /** The protocol counts all changes as notified this long after the signal that discovery has another address. */
    private static final long NOTIFICATION_DELAY_AFTER_MOVE_US = 4_000_000;

    /**
     * A watch whose response discovery completes is a completed long poll. The protocol counts a missed change as
     * notified this long after it.
     */
    private static final long NOTIFICATION_DELAY_AFTER_WATCH_END_US = 2_000_000;

    /** Allows for a pause of the process between reading the clock and writing a request. */
    private static final long PROCESS_PAUSE_MARGIN_US = 200_000;

    /** Returns the terms for an endpoint list that is polled or pushed, as the settings say. */
    public static EndpointListLeaseTerms of(LoadBalancerSettings settings) {
        long graceUs = settings.drainGraceUs - PROCESS_PAUSE_MARGIN_US;
        return settings.endpointListPolled ? ofPolledList(settings, graceUs) : ofPushedList(graceUs);
    }

    private static EndpointListLeaseTerms ofPolledList(LoadBalancerSettings settings, long graceUs) {
        long notificationDelayUs = Math.min(NOTIFICATION_DELAY_US, settings.pollIntervalUs);
        long afterConfirmationUs = Math.max(0, notificationDelayUs + graceUs);
        long afterWatchEndUs =
                Math.min(afterConfirmationUs, Math.max(0, NOTIFICATION_DELAY_AFTER_WATCH_END_US + graceUs));
        return new EndpointListLeaseTerms(
                afterConfirmationUs, afterMoveUs(graceUs), afterWatchEndUs, afterConfirmationUs, Math.max(0, graceUs));
    }

    /**
     * Returns the terms for endpoint lists that an agent pushes. Their changes count as notified immediately, even
     * while no watch is open.
     */
    private static EndpointListLeaseTerms ofPushedList(long graceUs) {
        long afterConfirmationUs = Math.max(0, NOTIFICATION_DELAY_US + graceUs);
        long afterMissedChangeUs = Math.max(0, graceUs);
        return new EndpointListLeaseTerms(
                afterConfirmationUs,
                afterMoveUs(graceUs),
                afterMissedChangeUs,
                afterMissedChangeUs,
                afterMissedChangeUs);
    }

    private static long afterMoveUs(long graceUs) {
        return Math.max(0, NOTIFICATION_DELAY_AFTER_MOVE_US + graceUs);
    }
}

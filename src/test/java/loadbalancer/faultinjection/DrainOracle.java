package loadbalancer.faultinjection;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;

import loadbalancer.faultinjection.EndpointListHistory.Change;
import loadbalancer.faultinjection.EndpointListHistory.State;
import loadbalancer.faultinjection.StandInDiscovery.Withheld;
import loadbalancer.faultinjection.StandInDiscovery.Written;
import loadbalancer.faultinjection.StandInUpstream.Arrival;

/**
 * Checks the rule {@code drain} against the records of the stand-ins. By the protocol, a change counts as notified at the
 * earliest of these times:
 *
 * <ul>
 *   <li>when discovery starts to write the change to the node
 *   <li>2 s after discovery ends a watch without sending the change
 *   <li>6 s after discovery has the change and is reachable
 *   <li>4 s after both have happened: a SIGHUP has moved discovery to another address, and discovery has the change
 * </ul>
 *
 * <p>No new request may reach the endpoint later than 0.5 s after the notification, with a tolerance of 50 ms. Times are
 * nanoseconds of the monotonic clock.
 */
final class DrainOracle {
    private static final long MAX_NOTIFICATION_DELAY_NANOS = 6_000_000_000L;
    private static final long MAX_DELAY_AFTER_SIGNAL_NANOS = 4_000_000_000L;
    private static final long DELAY_AFTER_WATCH_END_NANOS = 2_000_000_000L;
    private static final long GRACE_NANOS = 500_000_000L;
    private static final long TOLERANCE_NANOS = 50_000_000L;

    /** A request that reached an endpoint too late, and the time by which it was late. */
    record Violation(Arrival arrival, long lateNanos) {
        @Override
        public String toString() {
            return "request %s reached %s %.3f s after the grace"
                    .formatted(arrival.requestId(), arrival.endpointId(), lateNanos / 1e9);
        }
    }

    /** The value of {@code signalNanos} if no SIGHUP was sent. */
    static final long NO_SIGNAL = Long.MAX_VALUE;

    private final long reachableFromNanos;
    private final long signalNanos;
    private final List<Change> changes;
    private final List<Written> written;
    private final List<Withheld> withheld;

    /**
     * Creates the oracle for one node.
     *
     * @param reachableFromNanos the time since which discovery has been reachable without interruption
     * @param signalNanos when SIGHUP told the node that discovery has moved, or {@link #NO_SIGNAL}
     */
    DrainOracle(
            long reachableFromNanos,
            long signalNanos,
            List<Change> changes,
            List<Written> written,
            List<Withheld> withheld) {
        this.reachableFromNanos = reachableFromNanos;
        this.signalNanos = signalNanos;
        this.changes = changes;
        this.written = written;
        this.withheld = withheld;
    }

    /** Returns when the change that made this version counts as notified. The first version with a change is 1. */
    long notifiedAtNanos(int version) {
        long changedAtNanos = changes.get(version - 1).atNanos();
        long latestNanos = Math.max(changedAtNanos, reachableFromNanos) + MAX_NOTIFICATION_DELAY_NANOS;
        if (signalNanos != NO_SIGNAL) {
            latestNanos = Math.min(latestNanos, Math.max(changedAtNanos, signalNanos) + MAX_DELAY_AFTER_SIGNAL_NANOS);
        }
        LongStream writtenNanos =
                written.stream().filter(each -> each.version() >= version).mapToLong(Written::atNanos);
        LongStream withheldNanos = withheld.stream()
                .filter(each -> each.version() >= version)
                .mapToLong(each -> each.atNanos() + DELAY_AFTER_WATCH_END_NANOS);
        return LongStream.concat(writtenNanos, withheldNanos).reduce(latestNanos, Math::min);
    }

    /** Returns all requests of the node that reached an endpoint later than allowed. */
    List<Violation> findViolations(List<Arrival> arrivals) {
        List<Violation> violations = new ArrayList<>();
        for (Arrival arrival : arrivals) {
            int version = applicableVersion(arrival);
            if (version > 0 && changes.get(version - 1).state() != State.READY) {
                long delayNanos = arrival.firstByteNanos() - notifiedAtNanos(version) - GRACE_NANOS - TOLERANCE_NANOS;
                if (delayNanos > 0) {
                    violations.add(new Violation(arrival, delayNanos));
                }
            }
        }
        return violations;
    }

    /**
     * Returns the version of the change that applies to the endpoint at the arrival, or 0 if there is none. If the endpoint
     * has left the state READY, this is the first change of the current series of changes to other states.
     */
    private int applicableVersion(Arrival arrival) {
        int version = 0;
        for (int i = 0; i < changes.size(); i++) {
            Change change = changes.get(i);
            if (change.endpointId().equals(arrival.endpointId()) && change.atNanos() <= arrival.firstByteNanos()) {
                // The grace begins with the first of several changes that take the endpoint out of service.
                boolean isAlreadyOutOfService =
                        version > 0 && changes.get(version - 1).state() != State.READY;
                version = isAlreadyOutOfService && change.state() != State.READY ? version : i + 1;
            }
        }
        return version;
    }
}

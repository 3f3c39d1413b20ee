package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.discovery.ModelledDiscovery.Step;

/**
 * Walks all short orders of what may happen to discovery and to its watches, against a model of the rules that decide when
 * a missed change counts as notified. Guards against a lease that an event renews although the event does not prove
 * that the endpoint list is current.
 */
@Timeout(240)
class NotificationRulesTest {
    /** Shorter than a retry delay, longer than one, and longer than the time after which a watch is unresponsive. */
    private static final long[] INTERVALS_US = {150_000, 1_200_000, 2_700_000};

    private static final Jitter[] JITTERS = {SchedulerFixture.SHORTEST_DELAY, SchedulerFixture.LONGEST_DELAY};

    private static LoadBalancerSettings settings(int instances, boolean isPolled) {
        LoadBalancerSettings settings = SchedulerFixture.settings(instances);
        settings.endpointListPolled = isPolled;
        return settings;
    }

    private static int walk(
            LoadBalancerSettings settings, EndpointListLeaseTerms terms, int maxLength, Step... prefix) {
        DiscoveryCallTiming timing = DiscoveryCallTiming.of(settings);
        int count = 0;
        if (prefix.length > 0) {
            for (long intervalUs : INTERVALS_US) {
                for (Jitter jitter : JITTERS) {
                    new ModelledDiscovery(timing, terms, jitter, settings.endpointListPolled, prefix).run(intervalUs);
                    count++;
                }
            }
        }
        if (prefix.length < maxLength) {
            Step[] next = Arrays.copyOf(prefix, prefix.length + 1);
            for (Step step : Step.values()) {
                next[prefix.length] = step;
                count += walk(settings, terms, maxLength, next.clone());
            }
        }
        return count;
    }

    @ParameterizedTest
    @CsvSource({"1, true, 4", "5, true, 5", "30, true, 4", "120, true, 4", "1, false, 4", "120, false, 4"})
    void leaseExpiresWithinTheGraceOfEachMissedChange(int instances, boolean isPolled, int maxLength) {
        LoadBalancerSettings settings = settings(instances, isPolled);
        int count = walk(settings, EndpointListLeaseTerms.of(settings), maxLength);
        int steps = Step.values().length;
        double orders = (Math.pow(steps, maxLength + 1) - 1) / (steps - 1) - 1;
        assertEquals(orders * INTERVALS_US.length * JITTERS.length, count);
        System.out.println("fleet of " + instances + " instances, lists " + (isPolled ? "polled" : "pushed")
                + ": checked " + count + " orders of events");
    }

    private static void assertWalkFails(EndpointListLeaseTerms terms, boolean isPolled) {
        assertThrows(
                AssertionError.class,
                () -> walk(settings(5, isPolled), terms, 4),
                "the walk accepts invalid lease terms");
    }

    /** Returns terms for polled lists that are valid, but for the given ones. */
    private static EndpointListLeaseTerms terms(
            long afterConfirmationUs, long afterMoveUs, long afterWatchEndUs, long afterPartialListUs) {
        return new EndpointListLeaseTerms(
                afterConfirmationUs, afterMoveUs, afterWatchEndUs, afterConfirmationUs, afterPartialListUs);
    }

    @Test
    void walkFailsForALeaseThatIsTooLongAfterAMessage() {
        assertWalkFails(terms(6_500_000, 4_300_000, 2_300_000, 300_000), true);
    }

    @Test
    void walkFailsForALeaseThatIsTooLongAfterAMove() {
        assertWalkFails(terms(6_300_000, 4_500_000, 2_300_000, 300_000), true);
    }

    @Test
    void walkFailsForALeaseThatIsTooLongAfterTheEndOfAWatch() {
        assertWalkFails(terms(6_300_000, 4_300_000, 2_500_000, 300_000), true);
    }

    @Test
    void walkFailsForALeaseThatIsTooLongAfterAPartialList() {
        assertWalkFails(terms(6_300_000, 4_300_000, 2_300_000, 500_000), true);
    }

    @Test
    void walkFailsForALeaseOfAPushedListThatAResetDoesNotShorten() {
        assertWalkFails(new EndpointListLeaseTerms(6_300_000, 4_300_000, 300_000, 6_300_000, 300_000), false);
    }
}

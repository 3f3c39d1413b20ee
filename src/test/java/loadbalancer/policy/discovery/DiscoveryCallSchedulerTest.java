package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates every sequence of call behaviors up to a length, in virtual time. Guards against a lease that does not
 * expire although calls keep failing, so that the proxy still routes by the list when the grace of a missed change has
 * ended, and against a lease that is renewed too late once discovery serves calls again.
 */
@Timeout(240)
class DiscoveryCallSchedulerTest {
    /** The time by which a call that hangs delays the next call. */
    private static final long HANGING_CALL_DELAY_US = 3_300_000;

    private static EndpointListLeaseTerms terms(
            long afterConfirmationUs, long afterMoveUs, long afterWatchEndUs, long afterPartialListUs) {
        return new EndpointListLeaseTerms(
                afterConfirmationUs, afterMoveUs, afterWatchEndUs, afterConfirmationUs, afterPartialListUs);
    }

    /**
     * Returns the maximum time of a recovery: a last call that hangs, the longest delay after it, and the time in the
     * queue.
     */
    private static long maxRecoveryUs(DiscoveryCallTiming timing) {
        return HANGING_CALL_DELAY_US + 2 * timing.maxRetryDelayUs() + SchedulerFixture.MAX_QUEUE_TIME_US;
    }

    /** Checks all sequences that begin with a prefix, up to a length, and returns the number of sequences. */
    private static int checkSequences(
            DiscoveryCallTiming timing, Jitter jitter, int maxLength, CallBehavior... prefix) {
        if (prefix.length > 0) {
            long recoveryUs =
                    new VirtualDiscovery(timing, SchedulerFixture.terms(), jitter, prefix).measureRecoveryUs();
            assertTrue(
                    recoveryUs <= maxRecoveryUs(timing),
                    () -> Arrays.toString(prefix) + ": the lease is renewed " + recoveryUs
                            + " us after the last call of the sequence was opened");
        }
        if (prefix.length == maxLength) {
            return 1;
        }
        int sequenceCount = 1;
        CallBehavior[] next = Arrays.copyOf(prefix, prefix.length + 1);
        for (CallBehavior behavior : CallBehavior.values()) {
            if (behavior != CallBehavior.SERVED) {
                next[prefix.length] = behavior;
                sequenceCount += checkSequences(timing, jitter, maxLength, next.clone());
            }
        }
        return sequenceCount;
    }

    @ParameterizedTest
    @CsvSource({"1, 5", "5, 6", "30, 5", "31, 5", "63, 5", "120, 6", "1024, 5"})
    void leaseExpiresWithinTheGraceOfMissedChangesAndIsRenewedInTime(int instances, int maxLength) {
        int sequenceCount = checkSequences(
                        SchedulerFixture.timing(instances), SchedulerFixture.LONGEST_DELAY, maxLength)
                + checkSequences(SchedulerFixture.timing(instances), SchedulerFixture.SHORTEST_DELAY, maxLength);
        // For each of the two jitters, 1 + 12 + 144 + ... sequences.
        int behaviorCount = CallBehavior.values().length - 1;
        assertEquals(2 * (Math.pow(behaviorCount, maxLength + 1) - 1) / (behaviorCount - 1), sequenceCount);
        System.out.println(
                "fleet of " + instances + " instances: checked " + sequenceCount + " sequences of call behaviors");
    }

    private static void assertCheckFails(EndpointListLeaseTerms terms, CallBehavior... sequence) {
        VirtualDiscovery discovery =
                new VirtualDiscovery(SchedulerFixture.timing(1), terms, SchedulerFixture.SHORTEST_DELAY, sequence);
        assertThrows(AssertionError.class, discovery::measureRecoveryUs, "the simulation accepts invalid lease terms");
    }

    /** With these terms, the endpoint list is used however many calls fail. */
    @Test
    void checkFailsForAnUnlimitedLease() {
        EndpointListLeaseTerms unlimited =
                terms(Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4, Long.MAX_VALUE / 4);
        assertCheckFails(unlimited, CallBehavior.WATCH_ENDS, CallBehavior.HANGS);
    }

    @Test
    void checkFailsForALeaseWithoutMarginForPauses() {
        EndpointListLeaseTerms withoutMargin = terms(6_500_000, 4_500_000, 2_500_000, 500_000);
        assertCheckFails(withoutMargin, CallBehavior.WATCH_ENDS);
    }

    @Test
    void checkFailsForALeaseThatIsNotLimitedByAMove() {
        EndpointListLeaseTerms withoutMoves = terms(6_300_000, Long.MAX_VALUE / 4, 2_300_000, 300_000);
        assertCheckFails(withoutMoves, CallBehavior.WATCH_IS_RESET, CallBehavior.DISCOVERY_MOVES, CallBehavior.HANGS);
    }

    @Test
    void checkFailsForALeaseThatIsNotShortenedByTheEndOfAWatch() {
        EndpointListLeaseTerms withoutWatchEnds = terms(6_300_000, 4_300_000, 6_300_000, 300_000);
        assertCheckFails(withoutWatchEnds, CallBehavior.WATCH_ENDS, CallBehavior.HANGS, CallBehavior.HANGS);
    }

    @Test
    void checkFailsForALeaseThatIsNotLimitedByAPartialList() {
        EndpointListLeaseTerms withoutPartialLists = terms(6_300_000, 4_300_000, 2_300_000, 6_300_000);
        assertCheckFails(withoutPartialLists, CallBehavior.WATCH_IS_RESET, CallBehavior.PARTIAL_LIST);
    }
}

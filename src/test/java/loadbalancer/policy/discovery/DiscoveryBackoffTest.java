package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Instances call a discovery that serves calls in turn and rejects those that were queued for too long. */
class DiscoveryBackoffTest {
    private static final long POLL_INTERVAL_US = 10_000_000;
    private static final long OUTAGE_US = 8_000_000;
    private static final long SEEDS = 20;
    /** A pause of the process, once before it calls and once before it reads. */
    private static final long PAUSE_US = 150_000;

    private static final int REJECTIONS_PER_SERVICE_TIME = 10;

    private record ScheduledCall(long atUs, int instance) {}

    /** How long after the end of an outage the last instance has its list. */
    private static long lastServedUs(int instances, double callsPerS, long queueTimeoutUs, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DiscoveryBackoff[] backoffs = new DiscoveryBackoff[instances];
        PriorityQueue<ScheduledCall> calls = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledCall::atUs).thenComparingInt(ScheduledCall::instance));
        for (int i = 0; i < instances; i++) {
            backoffs[i] = new DiscoveryBackoff(instances, POLL_INTERVAL_US);
            backoffs[i].onListReceived();
            calls.add(new ScheduledCall(backoffs[i].nextDelayUs(random), i));
        }
        long serviceUs = (long) (1e6 / callsPerS);
        long idleAtUs = OUTAGE_US;
        while (!calls.isEmpty()) {
            ScheduledCall call = calls.poll();
            long startedAtUs = Math.max(call.atUs, idleAtUs);
            if (call.atUs < OUTAGE_US) {
                calls.add(new ScheduledCall(call.atUs + backoffs[call.instance].nextDelayUs(random), call.instance));
            } else if (startedAtUs - call.atUs > queueTimeoutUs) {
                // Rejecting a call takes some time too.
                idleAtUs += serviceUs / REJECTIONS_PER_SERVICE_TIME;
                calls.add(new ScheduledCall(
                        call.atUs + queueTimeoutUs + backoffs[call.instance].nextDelayUs(random), call.instance));
            } else {
                idleAtUs = startedAtUs + serviceUs;
            }
        }
        return idleAtUs - OUTAGE_US;
    }

    @ParameterizedTest
    @CsvSource({
        // One instance, and numbers of them whose calls take discovery up to 4.8 s to serve.
        "1, 1, 2000000", "1, 1, 3000000", "5, 5, 2000000", "30, 10, 2000000", "30, 7, 3000000",
        "120, 120, 2000000", "120, 40, 2000000", "120, 30, 2000000", "120, 40, 3000000", "120, 30, 3000000",
        "120, 25, 3000000",
    })
    void everyInstanceIsServedWithinTheBudgetAfterAnOutage(int instances, double callsPerS, long queueTimeoutUs) {
        for (long seed = 0; seed < SEEDS; seed++) {
            long lastUs = lastServedUs(instances, callsPerS, queueTimeoutUs, seed) + 2 * PAUSE_US;
            assertTrue(lastUs <= DiscoveryBackoff.NOTIFICATION_BUDGET_US, "seed " + seed + ": " + lastUs + " us");
        }
    }

    @Test
    void longestDelayAndAQueuedCallFitIntoTheBudget() {
        // Discovery queues a call for two seconds.
        assertTrue(DiscoveryBackoff.MAX_DELAY_US + 2_000_000 + 2 * PAUSE_US <= DiscoveryBackoff.NOTIFICATION_BUDGET_US);
    }

    @Test
    void delaysAreLimitedByThePollInterval() {
        SplittableRandom random = new SplittableRandom(5);
        for (long pollIntervalUs : new long[] {0, 1, 100_000, 1_000_000, POLL_INTERVAL_US}) {
            DiscoveryBackoff backoff = new DiscoveryBackoff(120, pollIntervalUs);
            long maxDelayUs = Math.max(1, Math.min(DiscoveryBackoff.MAX_DELAY_US, pollIntervalUs / 2));
            for (int i = 0; i < 1_000; i++) {
                long delayUs = backoff.nextDelayUs(random);
                assertTrue(delayUs > 0 && delayUs <= maxDelayUs, delayUs + " us");
            }
        }
    }
}

package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against delays that exceed the notification budget, and against instances that overload discovery after an
 * outage. The simulated discovery serves one call after another and rejects calls that have been queued for too long.
 */
class DiscoveryBackoffTest {
    private static final long POLL_INTERVAL_US = 10_000_000;
    private static final long OUTAGE_US = 8_000_000;
    private static final long SEEDS = 20;
    /** A pause of the process; one is assumed before the call and one before the response is read. */
    private static final long PAUSE_US = 150_000;

    private static final int REJECTIONS_PER_SERVICE_TIME = 10;

    private record ScheduledCall(long atUs, int instance) {}

    /** Returns the time from the end of an outage until the last instance has received its list. */
    private static long lastServedAfterUs(int instances, double callsPerSecond, long queueTimeoutUs, long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        DiscoveryBackoff[] backoffs = new DiscoveryBackoff[instances];
        PriorityQueue<ScheduledCall> calls = new PriorityQueue<>(
                Comparator.comparingLong(ScheduledCall::atUs).thenComparingInt(ScheduledCall::instance));
        for (int i = 0; i < instances; i++) {
            backoffs[i] = new DiscoveryBackoff(instances, POLL_INTERVAL_US);
            backoffs[i].onListReceived();
            calls.add(new ScheduledCall(backoffs[i].nextDelayUs(random), i));
        }
        long serviceTimeUs = (long) (1e6 / callsPerSecond);
        long discoveryIdleAtUs = OUTAGE_US;
        while (!calls.isEmpty()) {
            ScheduledCall call = calls.poll();
            long startedAtUs = Math.max(call.atUs, discoveryIdleAtUs);
            if (call.atUs < OUTAGE_US) {
                calls.add(new ScheduledCall(call.atUs + backoffs[call.instance].nextDelayUs(random), call.instance));
            } else if (startedAtUs - call.atUs > queueTimeoutUs) {
                // Discovery spends a part of the service time on rejecting a call.
                discoveryIdleAtUs += serviceTimeUs / REJECTIONS_PER_SERVICE_TIME;
                calls.add(new ScheduledCall(
                        call.atUs + queueTimeoutUs + backoffs[call.instance].nextDelayUs(random), call.instance));
            } else {
                discoveryIdleAtUs = startedAtUs + serviceTimeUs;
            }
        }
        return discoveryIdleAtUs - OUTAGE_US;
    }

    @ParameterizedTest
    @CsvSource({
        // instances, calls per second, queue timeout in us
        // Discovery needs up to 4.8 s to serve the calls of all instances.
        "1, 1, 2000000", "1, 1, 3000000", "5, 5, 2000000", "30, 10, 2000000", "30, 7, 3000000",
        "120, 120, 2000000", "120, 40, 2000000", "120, 30, 2000000", "120, 40, 3000000", "120, 30, 3000000",
        "120, 25, 3000000",
    })
    void allInstancesAreServedWithinTheBudgetAfterAnOutage(int instances, double callsPerSecond, long queueTimeoutUs) {
        for (long seed = 0; seed < SEEDS; seed++) {
            long lastServedAfterUs = lastServedAfterUs(instances, callsPerSecond, queueTimeoutUs, seed) + 2 * PAUSE_US;
            assertTrue(
                    lastServedAfterUs <= DiscoveryBackoff.NOTIFICATION_BUDGET_US,
                    "seed " + seed + ": the last instance is served after " + lastServedAfterUs + " us");
        }
    }

    @Test
    void maxDelayAndAQueuedCallFitIntoTheBudget() {
        // Discovery queues a call for up to 2 s.
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
                assertTrue(delayUs > 0 && delayUs <= maxDelayUs, "the delay is " + delayUs + " us");
            }
        }
    }
}

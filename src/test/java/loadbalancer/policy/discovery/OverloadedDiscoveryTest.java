package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against instances that wait too long for a lease, or never get one, because all of them call a slow discovery
 * at the same time and overload it.
 */
class OverloadedDiscoveryTest {
    private static final int SEEDS = 5;
    private static final long DURATION_US = 120_000_000;
    private static final double LEASED_SHARE = 0.9;

    private static OverloadedDiscovery.Result run(
            int instances, int startingInstances, double callsPerSecond, long outageSeconds, long seed) {
        return new OverloadedDiscovery(instances, startingInstances, callsPerSecond, outageSeconds * 1_000_000, seed)
                .run(DURATION_US);
    }

    /** The time until the leases are granted includes the outage. */
    @ParameterizedTest
    @CsvSource({
        // instances, starting instances, calls per second, seconds of outage, seconds until 90% have a lease
        "1, 1, 10, 0, 1",
        "5, 5, 10, 0, 1",
        "30, 30, 10, 0, 4",
        "63, 63, 10, 0, 9",
        "100, 10, 10, 0, 6",
        "100, 70, 10, 0, 10",
        "100, 100, 13, 0, 10",
        "120, 120, 100, 0, 8",
        "1000, 100, 100, 0, 9",
        "30, 30, 10, 8, 13",
        "100, 30, 13, 8, 18",
        "100, 100, 13, 8, 18",
        "100, 100, 13, 20, 40"
    })
    void ninetyPercentOfInstancesHaveALeaseInTime(
            int instances, int startingInstances, double callsPerSecond, long outageSeconds, double maxSeconds) {
        for (long seed = 0; seed < SEEDS; seed++) {
            double seconds = run(instances, startingInstances, callsPerSecond, outageSeconds, seed)
                    .secondsUntilLeased(LEASED_SHARE, startingInstances);
            assertTrue(
                    seconds <= maxSeconds, "seed " + seed + ": 90% of instances had a lease after " + seconds + " s");
        }
    }

    /** The instances make far more calls than discovery can serve, until their backoff is long enough. */
    @Test
    void allInstancesGetALeaseAlthoughTheyOverloadDiscovery() {
        for (long seed = 0; seed < SEEDS; seed++) {
            OverloadedDiscovery.Result result = run(100, 70, 6.5, 0, seed);
            assertEquals(70, result.leasedAtUs().size(), "seed " + seed);
        }
    }
}

package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import loadbalancer.policy.discovery.OverloadedDiscovery.Outage;
import loadbalancer.policy.discovery.OverloadedDiscovery.OutageCost;

/**
 * Measures, in virtual time, how long instances are without a lease where discovery goes down and refuses calls, and how
 * soon they have one again: nine in ten within a retry delay and the time in which discovery can serve all instances.
 */
@Timeout(240)
class OutageCostTest {
    private static final long OUTAGE_FROM_US = 60_000_000;
    private static final long OBSERVATION_US = 120_000_000;
    private static final int SEEDS = 5;
    /** The longest term of a lease after a message, and the longest time since the last heartbeat. */
    private static final long LONGEST_LEASE_US = 6_300_000;

    private static final long HEARTBEAT_INTERVAL_US = 2_000_000;
    private static final double US_PER_S = 1e6;
    /** The time until a call is refused. */
    private static final double REFUSAL_S = 0.001;

    private static final double MOST = 0.9;

    private static double seconds(List<Long> sortedUs, double share) {
        return sortedUs.get((int) Math.ceil(share * sortedUs.size()) - 1) / US_PER_S;
    }

    @ParameterizedTest
    @CsvSource({
        "1, 8, 100", "5, 8, 100", "30, 8, 100", "120, 8, 100",
        "1, 20, 100", "5, 20, 100", "30, 20, 100", "120, 20, 100",
        "1, 60, 100", "5, 60, 100", "30, 60, 100", "120, 60, 100",
        "30, 8, 10", "63, 8, 10", "30, 20, 10", "63, 20, 10"
    })
    void instancesAreWithoutALeaseFromSixSecondsAfterTheLastMessageOn(
            int instances, int outageS, double callsPerSecond) {
        long outageUntilUs = OUTAGE_FROM_US + (long) (outageS * US_PER_S);
        List<Long> withoutLeaseUs = new ArrayList<>();
        List<Long> leasedAfterUs = new ArrayList<>();
        for (int seed = 1; seed <= SEEDS; seed++) {
            OutageCost cost = new OverloadedDiscovery(instances, instances, callsPerSecond, 0, seed)
                    .runOutage(new Outage(OUTAGE_FROM_US, outageUntilUs), outageUntilUs + OBSERVATION_US);
            withoutLeaseUs.addAll(cost.withoutLeaseUs());
            leasedAfterUs.addAll(cost.leasedAfterUs());
        }
        withoutLeaseUs.sort(null);
        leasedAfterUs.sort(null);
        System.out.printf(
                Locale.ROOT,
                "fleet of %d, outage of %d s, %.0f calls/s: without a lease for %.1f s (half), %.1f s (nine in ten);"
                        + " back after %.1f s (half), %.1f s (nine in ten)%n",
                instances,
                outageS,
                callsPerSecond,
                seconds(withoutLeaseUs, 0.5),
                seconds(withoutLeaseUs, MOST),
                seconds(leasedAfterUs, 0.5),
                seconds(leasedAfterUs, MOST));
        double retryDelayS = SchedulerFixture.timing(instances).maxRetryDelayUs() / US_PER_S;
        double maxBackAfterS = retryDelayS + instances / callsPerSecond + REFUSAL_S;
        assertTrue(
                seconds(leasedAfterUs, MOST) <= maxBackAfterS,
                "nine in ten instances are not back after " + maxBackAfterS + " s");
        double shortestS = outageS - LONGEST_LEASE_US / US_PER_S;
        assertTrue(withoutLeaseUs.get(0) / US_PER_S >= shortestS, "a lease has outlived what it proves");
        double longestS = outageS - LONGEST_LEASE_US / US_PER_S + HEARTBEAT_INTERVAL_US / US_PER_S;
        for (int i = 0; i < withoutLeaseUs.size(); i++) {
            assertTrue(withoutLeaseUs.get(i) <= US_PER_S * longestS + leasedAfterUs.get(leasedAfterUs.size() - 1));
        }
    }
}

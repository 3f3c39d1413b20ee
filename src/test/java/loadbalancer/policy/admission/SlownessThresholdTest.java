package loadbalancer.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.statistics.LatencyStatistics;

/** Tests {@link SlownessThreshold} with a latency objective of 200 ms. */
class SlownessThresholdTest {
    private static final double ROUNDING_ERROR_US = 1e-6;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());

    private void recordLatencies(int count, long latencyUs) {
        for (int i = 0; i < count; i++) {
            latencies.record(0, latencyUs);
        }
    }

    private void assertSlowAbove(double expectedUs, int sharingInstances) {
        SlownessThreshold threshold = new SlownessThreshold(settings, new EndpointSharing(sharingInstances), latencies);
        assertEquals(expectedUs, threshold.slowAboveUs(PolicyTestObjects.request(settings, 0, 1)), ROUNDING_ERROR_US);
    }

    @Test
    void theThresholdIsThirtyFivePercentOfTheObjectiveWhileTheMeanIsUnknown() {
        recordLatencies(1, 10_000);
        assertSlowAbove(70_000, 1);
        assertSlowAbove(70_000, 24);
    }

    @Test
    void theThresholdIsThreeTimesTheLowestMeanLatencyIfThatIsLower() {
        recordLatencies(16, 10_000);
        assertSlowAbove(30_000, 1);
    }

    @Test
    void theThresholdIsNoHigherThanItsShareOfTheObjective() {
        recordLatencies(16, 30_000);
        assertSlowAbove(70_000, 1);
    }

    @Test
    void theMultipleOfTheMeanIsTwiceAsHighIfManyInstancesShareAnEndpoint() {
        recordLatencies(16, 10_000);
        assertSlowAbove(60_000, 24);
    }

    @Test
    void theShareOfTheObjectiveIsHigherIfManyInstancesShareAnEndpoint() {
        recordLatencies(16, 30_000);
        assertSlowAbove(120_000, 24);
    }

    @Test
    void theThresholdDependsOnTheObjectiveOnlyIfEndpointsCacheKeys() {
        settings.endpointsCacheKeys = true;
        recordLatencies(16, 1_000);
        assertSlowAbove(120_000, 1);
    }
}

package loadbalancer.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;
import loadbalancer.policy.statistics.TimelyResponseRate;

/** Tests the admission probability of {@link LoadShedder}. */
class LoadShedderTest {
    private static final long SEED = 11;
    private static final int REQUESTS = 1_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());
    private final RequestPriorities priorities = new RequestPriorities(settings, latencies);
    private final TimelyResponseRate timelyResponses = new TimelyResponseRate();
    private final SplittableRandom random = new SplittableRandom(SEED);
    private final PendingRequest request = PolicyTestObjects.request(settings, 0, 1);

    private LoadShedder shedder(int sharingInstances) {
        return new LoadShedder(new EndpointSharing(sharingInstances), priorities, timelyResponses, random);
    }

    private void recordLateResponses(int count) {
        for (int i = 0; i < count; i++) {
            timelyResponses.record(false);
        }
    }

    /** Asserts that each request is admitted if the next random number is below this probability, and only then. */
    private void assertAdmissionProbability(double probability, LoadShedder shedder) {
        SplittableRandom sameRandom = new SplittableRandom(SEED);
        for (int i = 0; i < REQUESTS; i++) {
            assertEquals(sameRandom.nextDouble() < probability, shedder.admits(request), "request " + i);
        }
    }

    @Test
    void allRequestsAreAdmittedInASmallFleet() {
        recordLateResponses(100);
        LoadShedder shedder = shedder(20);
        for (int i = 0; i < REQUESTS; i++) {
            assertTrue(shedder.admits(request));
        }
        assertEquals(
                new SplittableRandom(SEED).nextLong(),
                random.nextLong(),
                "the load shedder must not draw a random number");
    }

    @Test
    void allRequestsAreAdmittedWhileResponsesAreTimely() {
        priorities.assign(request, 1);
        assertAdmissionProbability(1, shedder(24));
    }

    /** The share of timely responses after n late ones is 0.75 times 0.875 to the power n; 0.7 is the threshold. */
    @ParameterizedTest
    @CsvSource({"4, 0.493061", "8, 0.169419"})
    void theAdmissionProbabilityFallsWithTheSquareOfTheTimelyShare(int lateResponses, double probability) {
        priorities.assign(request, 1);
        recordLateResponses(lateResponses);
        assertAdmissionProbability(probability, shedder(24));
    }

    @Test
    void requestsOfLowPriorityAreShedFirst() {
        // The priority factor is 0.75 for a request without priority and 1.25 for the highest priority.
        recordLateResponses(4);
        assertAdmissionProbability(0.295837, shedder(24));
    }

    @Test
    void someRequestsAreAlwaysAdmitted() {
        recordLateResponses(100);
        assertAdmissionProbability(0.05, shedder(24));
    }
}

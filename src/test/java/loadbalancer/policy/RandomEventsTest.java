package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.RuleCheckingCaller.WarmUpAttempt;

/** Sends the module long sequences of random events with fixed seeds and checks its actions against all rules. */
class RandomEventsTest {
    /** Number of attempts in an overload window that are allowed above the budget, as chance. */
    private static final int MAX_CHANCE_ATTEMPTS = 2;

    /** Maximum number of ready endpoints that the capacity is divided by, since many endpoints are always removed. */
    private static final long MAX_READY_ENDPOINTS = 3;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void allRulesHoldOverRandomEvents(long seed) {
        RuleCheckingCaller caller = new RuleCheckingCaller(seed);
        caller.run(1_500);
        assertEquals(caller.requestCount(), caller.finishedCount(), "requests that have ended");
        assertTrue(caller.servedCount() > 100, "requests served: " + caller.servedCount());
        caller.warmUpAttempts().forEach((entry, attempts) -> {
            for (WarmUpAttempt first : attempts) {
                assertWithinSlowStartBudget(caller, entry, attempts, first.startedAtUs());
            }
        });
    }

    /**
     * Asserts that, in the overload window that starts at {@code fromUs}, the instance sends a warming-up endpoint no
     * more than its share of the load that makes the endpoint fail. The instance's share of the capacity of an endpoint
     * that is not warming up is taken to be the rate of its served requests, divided by the number of ready endpoints.
     */
    private static void assertWithinSlowStartBudget(
            RuleCheckingCaller caller, EndpointListEntry entry, List<WarmUpAttempt> attempts, long fromUs) {
        LoadBalancerSettings settings = caller.settings();
        long untilUs = fromUs + settings.overloadWindowUs;
        List<WarmUpAttempt> window = attempts.stream()
                .filter(attempt -> attempt.startedAtUs() >= fromUs && attempt.startedAtUs() < untilUs)
                .toList();
        long minReady =
                window.stream().mapToLong(WarmUpAttempt::readyEndpoints).min().getAsLong();
        double ready = (double) Math.min(MAX_READY_ENDPOINTS, minReady);
        double progress = Math.min(1, (untilUs - entry.startedAtUs()) / (double) settings.slowStartUs);
        double share = settings.initialCapacityShare + (1 - settings.initialCapacityShare) * progress;
        double capacity = share * caller.servedPerSecond() / ready;
        assertTrue(
                window.size() - MAX_CHANCE_ATTEMPTS
                        <= settings.overloadFactor * capacity * settings.overloadWindowUs / 1e6,
                window.size() + " attempts in one overload window at endpoint " + entry.id());
    }

    @ParameterizedTest
    @ValueSource(longs = {21, 22})
    void theSameEventsAndSeedGiveTheSameActions(long seed) {
        RuleCheckingCaller first = new RuleCheckingCaller(seed);
        RuleCheckingCaller second = new RuleCheckingCaller(seed);
        first.run(800);
        second.run(800);
        assertEquals(first.trace(), second.trace());
    }
}

package loadbalancer.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.Tenant;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.statistics.ServiceRate;

/**
 * Tests the intervals between attempts halfway through the {@link SlowStart} of an endpoint. The capacity share, which
 * grows from 0.2 to 1, is then 0.6. The overload factor is 3, and all of it is used if there are quotas.
 */
class SlowStartIntervalTest {
    private static final long SEED = 5;
    private static final long STARTED_AT_US = 100_000_000;
    private static final long HALFWAY_US = STARTED_AT_US + 10_000_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final ServiceRate serviceRate = new ServiceRate();
    private final Endpoint endpoint = PolicyTestObjects.endpoint(settings, "a");

    SlowStartIntervalTest() {
        endpoint.startIncarnation(STARTED_AT_US, STARTED_AT_US);
    }

    private SlowStart slowStart(double quotaPerSecond, int activeEndpoints) {
        settings.tenants.set(0, new Tenant("tenant", quotaPerSecond));
        SlowStart slowStart = new SlowStart(settings, serviceRate, new SplittableRandom(SEED));
        slowStart.setActiveEndpointCount(activeEndpoints);
        return slowStart;
    }

    /**
     * Asserts that halfway through slow start an attempt is allowed at this interval after the last one, not before.
     */
    private void assertInterval(long intervalUs, SlowStart slowStart) {
        endpoint.setLastAttemptAtUs(HALFWAY_US - intervalUs);
        assertTrue(slowStart.allows(endpoint, HALFWAY_US));
        endpoint.setLastAttemptAtUs(HALFWAY_US - intervalUs + 1);
        assertFalse(slowStart.allows(endpoint, HALFWAY_US));
    }

    @Test
    void attemptsAreSpacedByTheEndpointsShareOfTheQuotas() {
        // With 100 requests per second, each of five endpoints gets one request every 50 ms.
        assertInterval(27_777, slowStart(100, 5));
    }

    @Test
    void allInstancesShareTheBudget() {
        settings.instances = 4;
        assertInterval(111_111, slowStart(100, 5));
    }

    @Test
    void requestsWithUncachedKeysCostMore() {
        settings.endpointsCacheKeys = true;
        assertInterval(55_555, slowStart(100, 5));
    }

    @Test
    void withoutQuotasHalfOfTheOverloadFactorAppliesToTheServiceRate() {
        serviceRate.onAttemptStarted(HALFWAY_US);
        // Before the first response, one response of any of the five endpoints is assumed every 50 ms.
        assertInterval(277_777, slowStart(0, 5));
    }

    @Test
    void theShareOfAnEndpointDoesNotGrowWhenEndpointsAreRemoved() {
        SlowStart slowStart = slowStart(100, 5);
        slowStart.setActiveEndpointCount(2);
        assertInterval(27_777, slowStart);
    }

    @Test
    void slowStartEndsAfterTheConfiguredTime() {
        SlowStart slowStart = slowStart(100, 5);
        long endUs = STARTED_AT_US + settings.slowStartUs;
        assertTrue(slowStart.isWarmingUp(endpoint, endUs - 1));
        assertFalse(slowStart.isWarmingUp(endpoint, endUs));
        endpoint.setLastAttemptAtUs(endUs);
        assertTrue(slowStart.allows(endpoint, endUs));
    }

    @Test
    void anEndpointThatStartedLongAgoIsNotWarmingUp() {
        endpoint.startIncarnation(0, STARTED_AT_US);
        assertFalse(slowStart(100, 5).isWarmingUp(endpoint, STARTED_AT_US));
    }

    @Test
    void theFirstAttemptIsSpreadOverOneIntervalOnce() {
        SlowStart slowStart = slowStart(100, 5);
        slowStart.spreadFirstAttempt(endpoint, HALFWAY_US);
        double randomFraction = new SplittableRandom(SEED).nextDouble();
        assertEquals(HALFWAY_US - (long) (randomFraction * 27_777), endpoint.lastAttemptAtUs());
        slowStart.spreadFirstAttempt(endpoint, HALFWAY_US + 1_000);
        assertEquals(HALFWAY_US - (long) (randomFraction * 27_777), endpoint.lastAttemptAtUs());
    }

    @Test
    void firstAttemptsAtEndpointsThatAreNotWarmingUpAreNotSpread() {
        endpoint.startIncarnation(0, 0);
        slowStart(100, 5).spreadFirstAttempt(endpoint, HALFWAY_US);
        assertEquals(0, endpoint.lastAttemptAtUs());
    }
}

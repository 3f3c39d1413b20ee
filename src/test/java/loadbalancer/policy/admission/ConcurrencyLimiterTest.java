package loadbalancer.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;
import loadbalancer.policy.statistics.ServiceRate;
import loadbalancer.policy.statistics.TimelyResponseRate;

/** Tests {@link ConcurrencyLimiter}. With an objective of 200 ms and one recorded latency, more than 70 ms is slow. */
class ConcurrencyLimiterTest {
    private static final long NOW_US = 10_000_000;
    private static final long QUICK_US = 10_000;
    private static final long SLOW_US = 70_001;
    private static final double ROUNDING_ERROR = 1e-9;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());
    private final SlowStart slowStart = new SlowStart(settings, new ServiceRate(), new SplittableRandom(1));
    private Endpoint[] active;
    private ConcurrencyLimiter limiter;

    ConcurrencyLimiterTest() {
        latencies.record(0, QUICK_US);
        createLimiter(1, 1);
    }

    /** Creates the limiter of one of {@code instances} instances, all of which share the endpoints. */
    private void createLimiter(int instances, int endpoints) {
        active = PolicyTestObjects.activeEndpoints(settings, endpoints);
        limiter = new ConcurrencyLimiter(
                settings,
                new EndpointSharing(instances),
                new RequestPriorities(settings, latencies),
                latencies,
                new TimelyResponseRate(),
                slowStart);
        limiter.initializeLimits(Arrays.asList(active), active);
        limiter.recomputeTotals(active);
    }

    private void setLimits(double limit) {
        for (Endpoint endpoint : active) {
            endpoint.concurrency().setLimit(limit);
        }
        limiter.recomputeTotals(active);
    }

    private double limit() {
        return active[0].concurrency().limit();
    }

    private PendingRequest request() {
        return PolicyTestObjects.request(settings, PolicyTestObjects.IDEMPOTENT, NOW_US);
    }

    private Attempt start(PendingRequest request, Endpoint endpoint) {
        limiter.onAttemptStarted(endpoint);
        return request.startAttempt(endpoint, NOW_US);
    }

    /** Starts attempts at the first endpoint while it has capacity, and returns their number. */
    private int startUpToLimit(boolean overQuota) {
        int started = 0;
        while (started < 100) {
            PendingRequest request = request();
            if (overQuota) {
                request.setOverQuota();
            }
            if (!limiter.hasCapacity(request, active[0], NOW_US)) {
                return started;
            }
            start(request, active[0]);
            started++;
        }
        return started;
    }

    /** Starts an attempt at the first endpoint and ends it with this result. */
    private void complete(AttemptResult result, long latencyUs) {
        PendingRequest request = request();
        complete(request, start(request, active[0]), new ObservedOutcome(result, latencyUs, false));
    }

    private void complete(PendingRequest request, Attempt attempt, ObservedOutcome outcome) {
        request.endAttempt(attempt, outcome.result());
        limiter.release(attempt);
        limiter.onOutcome(request, attempt, outcome, NOW_US + outcome.latencyUs());
    }

    @Test
    void anEndpointTakesRequestsUpToItsLimit() {
        assertEquals(4, startUpToLimit(false));
        assertEquals(NOW_US, active[0].concurrency().limitReachedAtUs());
    }

    @Test
    void requestsOverQuotaUseHalfOfTheLimitAndDoNotCountAsReachingIt() {
        assertEquals(2, startUpToLimit(true));
        assertEquals(0, active[0].concurrency().limitReachedAtUs());
    }

    @Test
    void instancesShareTheInitialLimit() {
        createLimiter(8, 1);
        assertEquals(0.5, limit());
    }

    @Test
    void theInitialLimitIsSixTimesAsHighIfEndpointsCacheKeys() {
        settings.endpointsCacheKeys = true;
        createLimiter(1, 1);
        assertEquals(24, limit());
    }

    @Test
    void theLimitOfANewEndpointIsNoHigherThanTheAverage() {
        createLimiter(1, 3);
        active[0].concurrency().setLimit(1);
        active[1].concurrency().setLimit(2);
        active[2].concurrency().setLimit(0);
        limiter.initializeLimits(Arrays.asList(active), active);
        assertEquals(1.5, active[2].concurrency().limit());
        assertEquals(1, active[0].concurrency().limit());
    }

    @Test
    void theLimitOfANewEndpointIsNoHigherThanTheInitialLimit() {
        createLimiter(1, 2);
        active[0].concurrency().setLimit(10);
        active[1].concurrency().setLimit(0);
        limiter.initializeLimits(Arrays.asList(active), active);
        assertEquals(4, active[1].concurrency().limit());
    }

    @Test
    void requestsInFlightStayBelowTheSumOfAllLimits() {
        createLimiter(8, 8);
        for (int i = 0; i < 4; i++) {
            assertTrue(limiter.hasCapacity(request(), active[i], NOW_US));
            start(request(), active[i]);
        }
        assertFalse(limiter.hasCapacity(request(), active[4], NOW_US));
    }

    @Test
    void ejectedEndpointsDoNotCountTowardsTheSum() {
        createLimiter(8, 8);
        for (int i = 0; i < 4; i++) {
            start(request(), active[0]);
        }
        active[0].health().eject(1, 1);
        limiter.recomputeTotals(active);
        assertTrue(limiter.hasCapacity(request(), active[1], NOW_US));
    }

    @Test
    void anAttemptIsReleasedOnlyOnce() {
        Attempt attempt = start(request(), active[0]);
        start(request(), active[0]);
        limiter.release(attempt);
        limiter.release(attempt);
        assertEquals(1, active[0].concurrency().inFlight());
    }

    @Test
    void aQuickResponseRaisesALimitThatWasReached() {
        startUpToLimit(false);
        complete(AttemptResult.OK, QUICK_US);
        // The step is 0.15, and half of it is used while three of four responses are timely.
        assertEquals(4.075, limit(), ROUNDING_ERROR);
    }

    @Test
    void aLimitThatWasNotReachedDoesNotGrow() {
        complete(AttemptResult.OK, QUICK_US);
        assertEquals(4, limit());
    }

    @Test
    void theLimitOfAWarmingEndpointGrowsNoFurtherThanTheAverage() {
        createLimiter(1, 2);
        active[0].startIncarnation(NOW_US, NOW_US);
        startUpToLimit(false);
        complete(AttemptResult.OK, QUICK_US);
        assertEquals(4, limit());
        active[1].concurrency().setLimit(5);
        limiter.recomputeTotals(active);
        complete(AttemptResult.OK, QUICK_US);
        assertEquals(4.075, limit(), ROUNDING_ERROR);
    }

    @Test
    void aSlowResponseCutsTheLimitByATenth() {
        complete(AttemptResult.OK, SLOW_US);
        assertEquals(3.6, limit(), ROUNDING_ERROR);
    }

    @Test
    void attemptsThatBeganBeforeACutDoNotCutAgain() {
        PendingRequest first = request();
        PendingRequest second = request();
        Attempt firstAttempt = start(first, active[0]);
        Attempt secondAttempt = start(second, active[0]);
        complete(first, firstAttempt, new ObservedOutcome(AttemptResult.OK, SLOW_US, false));
        complete(second, secondAttempt, new ObservedOutcome(AttemptResult.OK, SLOW_US, false));
        assertEquals(3.6, limit(), ROUNDING_ERROR);
    }

    @Test
    void aRejectionCutsTheLimitByThreeTenths() {
        complete(AttemptResult.REJECTED, 1_000);
        assertEquals(2.8, limit(), ROUNDING_ERROR);
    }

    @Test
    void aRejectionCutsTheLimitToTheRequestsInFlightIfEndpointsCacheKeys() {
        settings.endpointsCacheKeys = true;
        createLimiter(1, 1);
        start(request(), active[0]);
        complete(AttemptResult.REJECTED, 1_000);
        assertEquals(2, limit());
    }

    @Test
    void aSlowAttemptWhoseClientDisconnectedCutsTheLimit() {
        PendingRequest request = request();
        Attempt attempt = start(request, active[0]);
        complete(request, attempt, new ObservedOutcome(AttemptResult.CANCELLED, SLOW_US, true));
        assertEquals(3.6, limit(), ROUNDING_ERROR);
    }

    @Test
    void aTimeoutCutsTheLimitOfAnOverloadedEndpointOnly() {
        complete(AttemptResult.TIMEOUT, 1_000_000);
        assertEquals(4, limit());
        active[0].concurrency().resetLimit();
        setLimits(4);
        complete(AttemptResult.TIMEOUT, 1_000_000);
        assertEquals(2.8, limit(), ROUNDING_ERROR);
    }

    @ParameterizedTest
    @EnumSource(
            value = AttemptResult.class,
            names = {"ERROR", "CONNECT_FAILED", "RESET", "CANCELLED", "NOT_SENT"})
    void otherResultsDoNotChangeTheLimit(AttemptResult result) {
        startUpToLimit(false);
        complete(result, SLOW_US);
        assertEquals(4, limit());
    }

    @Test
    void theLimitsOfAllInstancesAddUpToAtLeastOne() {
        createLimiter(4, 1);
        setLimits(0.3);
        complete(AttemptResult.REJECTED, 1_000);
        assertEquals(0.25, limit());
    }

    @Test
    void cutsAreLargerIfManyInstancesShareAnEndpoint() {
        createLimiter(16, 1);
        setLimits(10);
        complete(AttemptResult.OK, SLOW_US);
        // The fourth root of 16 instances is 2, so that the limit is cut by a tenth twice.
        assertEquals(8.1, limit(), ROUNDING_ERROR);
    }

    @Test
    void anEndpointWithALimitBelowOnePausesBetweenRequests() {
        createLimiter(8, 1);
        complete(AttemptResult.OK, QUICK_US);
        // With a limit of one half, requests that take 10 ms may begin every 20 ms.
        assertFalse(limiter.hasCapacity(request(), active[0], NOW_US + 19_999));
        assertTrue(limiter.hasCapacity(request(), active[0], NOW_US + 20_000));
    }
}

package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Tests concurrency limits, tenant quotas, and the queue of requests for which no endpoint has capacity. */
class AdmissionTest {

    @Test
    void atTheLimitRequestsAreQueuedAndTheHighestPriorityIsDispatchedFirst() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.classes.add(new RequestClass(
                "high-priority",
                200_000,
                0,
                1_000_000,
                9,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false));
        settings.instances = 2;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(2);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            ids.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT));
        }
        long highPriority = instance.sendRequest(5);
        // Each of the two instances starts with a limit of two requests at each of the two endpoints, so the fifth
        // request and the one of high priority are queued.
        assertEquals(4, instance.startedAttempts.size());
        instance.completeLastAttempt(ids.get(0), AttemptResult.OK, 10_000);
        assertEquals(highPriority, instance.startedAttempts.get(4).requestId());
    }

    @Test
    void slowResponsesLowerAConcurrencyLimitAndQuickOnesRaiseIt() {
        LoadBalancerFixture slow = new LoadBalancerFixture().withEndpoints(1);
        LoadBalancerFixture quick = new LoadBalancerFixture().withEndpoints(1);
        for (int i = 0; i < 30; i++) {
            slow.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 150_000);
            long first = quick.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            long second = quick.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            quick.completeLastAttempt(first, AttemptResult.OK, 5_000);
            quick.completeLastAttempt(second, AttemptResult.OK, 5_000);
        }
        for (int i = 0; i < 8; i++) {
            slow.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            quick.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        }
        assertEquals(1, slow.startedAttempts.size() - 30);
        assertTrue(quick.startedAttempts.size() - 60 >= 3, "attempts " + quick.startedAttempts.size());
    }

    /** Returns settings with two tenants, of which the first exceeds its quota from its second request on. */
    private static LoadBalancerSettings settingsWithQuotas() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.tenants.clear();
        settings.overQuotaPriorityFactor = 0.1;
        settings.tenants.add(new Tenant("over quota", 1));
        settings.tenants.add(new Tenant("within quota", 100));
        return settings;
    }

    @Test
    void aTenantOverItsQuotaIsQueuedBehindOneWithinIt() {
        LoadBalancerSettings settings = settingsWithQuotas();
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(1);
        List<Long> inFlight = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            inFlight.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 1, 1_000_000));
        }
        List<Long> overQuota = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            overQuota.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 0, 1_000_000));
        }
        long withinQuota = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 1, 1_000_000);
        inFlight.forEach(id -> instance.completeLastAttempt(id, AttemptResult.OK, 1_000));
        instance.completeLastAttempt(overQuota.get(0), AttemptResult.OK, 1_000);
        instance.completeLastAttempt(withinQuota, AttemptResult.OK, 1_000);
        assertEquals(
                List.of(overQuota.get(0), withinQuota, overQuota.get(1), overQuota.get(2)),
                instance.startedAttempts.stream()
                        .skip(4)
                        .limit(4)
                        .map(LoadBalancerFixture.StartedAttempt::requestId)
                        .toList());
    }

    @Test
    void requestsOverQuotaLeaveCapacityForThoseWithinIt() {
        // Guards against a tenant over its quota that uses up all capacity, so that tenants within theirs are rejected.
        LoadBalancerSettings settings = settingsWithQuotas();
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(2);
        for (int i = 0; i < 40; i++) {
            instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 0, 1_000_000);
        }
        // Two endpoints start with limits of four. Requests over the quota may use half of the sum; the first request,
        // which is within the quota, may be one more.
        int attemptsOverQuota = instance.startedAttempts.size();
        assertTrue(attemptsOverQuota >= 4 && attemptsOverQuota <= 5, "attempts over quota: " + attemptsOverQuota);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    1,
                    instance.attemptCount(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 1, 1_000_000)),
                    "request " + i + " within the quota");
        }
    }

    @Test
    void anEndpointWithALimitBelowOnePausesBetweenRequests() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = 8;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(1);
        instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 60_000);
        long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        instance.advance(20_000);
        assertEquals(0, instance.attemptCount(id));
        instance.advance(60_000);
        assertEquals(1, instance.attemptCount(id));
    }

    @Test
    void requestsInFlightDoNotExceedTheSumOfAllLimits() {
        // Guards against overload of all endpoints at once, which occurs if every instance may send one request to
        // every endpoint although all limits are below one.
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = 8;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(8);
        for (int i = 0; i < 8; i++) {
            instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        }
        assertEquals(4, instance.startedAttempts.size());
    }

    @Test
    void responsesFarSlowerThanUsualLowerALimitEvenWithALongLatencyObjective() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.classes.add(new RequestClass(
                "long-objective",
                20_000_000,
                0,
                30_000_000,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false));
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(1);
        for (int i = 0; i < 80; i++) {
            instance.sendAndComplete(5, AttemptResult.OK, i < 40 ? 10_000 : 200_000);
        }
        int attemptsBefore = instance.startedAttempts.size();
        for (int i = 0; i < 4; i++) {
            instance.sendRequest(5, 30_000_000);
        }
        assertEquals(1, instance.startedAttempts.size() - attemptsBefore);
    }

    /**
     * Guards against requests that are rejected at once where endpoints usually take longer than the latency objective:
     * they may still be queued for a while.
     */
    @ParameterizedTest
    @CsvSource({"50000, 80000", "250000, 30000"})
    void queuedRequestsAreRejectedOnceTheirLatencyObjectiveIsOutOfReach(long usualLatencyUs, long queuedForUs) {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(1);
        for (int i = 0; i < 40; i++) {
            instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.OK, usualLatencyUs);
        }
        instance.receiveEndpointList(EndpointListKind.COMPLETE, List.of());
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        instance.advance(queuedForUs);
        assertFalse(instance.rejected.contains(id));
        instance.advance(30_000);
        assertTrue(instance.rejected.contains(id));
    }

    /**
     * Guards against limits that grow during an overload and so prolong it: while most responses are late, the few
     * timely ones must not raise limits as much as usual.
     */
    @Test
    void limitsGrowLessWhileResponsesAreLate() {
        long whileTimely = attemptsAtQuickEndpoint(0);
        long whileLate = attemptsAtQuickEndpoint(210_000);
        assertTrue(
                whileLate < whileTimely * 2 / 3,
                "attempts at the quick endpoint: " + whileLate + " if late, " + whileTimely + " if timely");
    }

    /**
     * Sends bursts of requests to two endpoints, of which s1 is quick and s0 responds later by the given delay. Returns
     * how many attempts of a last burst go to s1.
     */
    private static long attemptsAtQuickEndpoint(long delayUs) {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(2);
        for (int round = 0; round < 40; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 40; i++) {
                burst.add(instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT));
            }
            instance.advance(4_000);
            assertTrue(completeOneAt(instance, burst, "s1"));
            instance.advance(delayUs);
            assertTrue(completeOneAt(instance, burst, "s0"));
            burst.forEach(id -> disconnectClient(instance, id));
            instance.advance(2_000_000);
        }
        long attemptsBefore = instance.attemptCountAt("s1");
        for (int i = 0; i < 100; i++) {
            instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        }
        return instance.attemptCountAt("s1") - attemptsBefore;
    }

    private static void disconnectClient(LoadBalancerFixture instance, long id) {
        instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
        if (instance.lastAttempt(id) != null) {
            instance.completeLastAttempt(id, AttemptResult.CANCELLED, 0);
        }
    }

    /** Completes one request of the burst with a success at the endpoint; returns whether there was one. */
    private static boolean completeOneAt(LoadBalancerFixture instance, List<Long> burst, String endpointId) {
        for (long id : burst) {
            if (instance.lastAttempt(id) != null
                    && instance.lastAttempt(id).endpointId().equals(endpointId)) {
                instance.completeLastAttempt(id, AttemptResult.OK, 0);
                return burst.remove(id);
            }
        }
        return false;
    }
}

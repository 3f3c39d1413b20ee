package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.junit.jupiter.api.Test;

/** Tests for large fleets: subsets of endpoints, slow responses that count as errors, load shedding and bursts. */
class LargeFleetTest {
    private static final int INSTANCES = 240;
    private static final int ENDPOINTS = 40;

    private static LoadBalancerFixture instance(int index) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = INSTANCES;
        settings.instanceIndex = index;
        return new LoadBalancerFixture(settings, 100 + index);
    }

    /** Sends 100 requests one at a time, with quick responses, and returns the endpoints that got attempts. */
    private static Set<String> endpointsUsedBy(LoadBalancerFixture instance) {
        Set<String> endpoints = new HashSet<>();
        for (int i = 0; i < 100; i++) {
            endpoints.add(instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 5_000));
            instance.advance(200_000);
        }
        return endpoints;
    }

    @Test
    void endpointsAreSharedEvenlyByTheInstancesOfALargeFleet() {
        Map<String, Integer> instanceCounts = new HashMap<>();
        for (int index = 0; index < INSTANCES; index++) {
            Set<String> used = endpointsUsedBy(instance(index).withEndpoints(ENDPOINTS));
            assertTrue(used.size() >= 3 && used.size() <= 5, "instance " + index + " uses " + used);
            used.forEach(endpoint -> instanceCounts.merge(endpoint, 1, Integer::sum));
        }
        assertEquals(ENDPOINTS, instanceCounts.size());
        instanceCounts.forEach(
                (endpoint, count) -> assertTrue(count >= 16 && count <= 36, endpoint + " is shared by " + count));
    }

    @Test
    void theInstancesPerEndpointAreLimitedIfFewEndpointsAreListed() {
        Map<String, Integer> instanceCounts = new HashMap<>();
        for (int index = 0; index < INSTANCES; index++) {
            endpointsUsedBy(instance(index).withEndpoints(8))
                    .forEach(endpoint -> instanceCounts.merge(endpoint, 1, Integer::sum));
        }
        instanceCounts.forEach((endpoint, count) -> assertTrue(count <= 80, endpoint + " is shared by " + count));
    }

    @Test
    void anInstanceOfASmallFleetUsesAllEndpoints() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = 5;
        assertEquals(
                20,
                endpointsUsedBy(new LoadBalancerFixture(settings, 3).withEndpoints(20))
                        .size());
    }

    @Test
    void removingAnEndpointChangesFewSubsetsAndClosesUnusedConnections() {
        int moved = 0;
        for (int index = 0; index < 60; index++) {
            LoadBalancerFixture instance = instance(index).withEndpoints(ENDPOINTS);
            Set<String> before = endpointsUsedBy(instance);
            instance.closedEndpoints.clear();
            instance.receiveEndpointList(
                    EndpointListKind.CHANGES, List.of(new EndpointListEntry("s7", 0, 0, EndpointState.REMOVED, 1, 0)));
            Set<String> after = endpointsUsedBy(instance);
            assertFalse(after.contains("s7"));
            for (String endpoint : before) {
                assertEquals(!after.contains(endpoint), instance.closedEndpoints.contains(endpoint), endpoint);
                moved += after.contains(endpoint) || endpoint.equals("s7") ? 0 : 1;
            }
        }
        assertTrue(moved < 60, "subset entries changed: " + moved + " of 240");
    }

    @Test
    void aSlowEndpointGetsFewerRequestsFromAnInstanceOfALargeFleet() {
        LoadBalancerFixture instance = instance(1).withEndpoints(ENDPOINTS);
        String slow = endpointsUsedBy(instance).stream().sorted().findFirst().orElseThrow();
        int attemptsAtSlow = 0;
        for (int i = 0; i < 400; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            boolean atSlow = instance.lastAttempt(id).endpointId().equals(slow);
            attemptsAtSlow += atSlow ? 1 : 0;
            instance.completeLastAttempt(id, AttemptResult.OK, atSlow ? 12_000 : 4_000);
            instance.advance(200_000);
        }
        // An even share is 100; picking the less loaded of two endpoints does not lower it while nothing is in flight.
        assertTrue(attemptsAtSlow < 70, "attempts at the slow endpoint: " + attemptsAtSlow + " of 400");
    }

    @Test
    void anInstanceOfALargeFleetShedsLoadUntilResponsesAreTimelyAgain() {
        LoadBalancerFixture instance = instance(2).withEndpoints(ENDPOINTS);
        endpointsUsedBy(instance);
        int rejectedAtOnce = 0;
        for (int i = 0; i < 200; i++) {
            int before = instance.rejected.size();
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            rejectedAtOnce += instance.rejected.size() - before;
            if (instance.attemptCount(id) > 0) {
                instance.completeLastAttempt(id, AttemptResult.OK, 300_000);
            }
            instance.advance(4_000_000);
        }
        assertTrue(rejectedAtOnce > 100 && rejectedAtOnce < 200, "rejected at once: " + rejectedAtOnce);
        // Some requests are still admitted, so that the instance learns that responses are timely again.
        for (int i = 0; i < 400; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            if (instance.attemptCount(id) > 0) {
                instance.completeLastAttempt(id, AttemptResult.OK, 5_000);
            }
            instance.advance(4_000_000);
        }
        int rejected = instance.rejected.size();
        endpointsUsedBy(instance);
        assertEquals(rejected, instance.rejected.size());
    }

    @Test
    void anInstanceOfALargeFleetAllowsBurstsWhileResponsesAreTimely() {
        LoadBalancerFixture instance = instance(3).withEndpoints(ENDPOINTS);
        endpointsUsedBy(instance);
        for (int i = 0; i < 3; i++) {
            assertEquals(
                    1,
                    instance.attemptCount(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT)),
                    "request " + i + " of the burst");
        }
    }

    /** Guards against a tenant over its quota that uses up the capacity for bursts of tenants within their quotas. */
    @Test
    void burstsOfATenantOverItsQuotaAreSmallerThanThoseWithinAQuota() {
        int overQuota = attemptsOfBurst(0);
        int withinQuota = attemptsOfBurst(1);
        assertTrue(overQuota < withinQuota, "attempts over quota: " + overQuota + ", within quota: " + withinQuota);
    }

    /** Returns the number of attempts for forty simultaneous requests of a tenant; tenant 0 is over its quota. */
    private static int attemptsOfBurst(int tenant) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = INSTANCES;
        settings.instanceIndex = 3;
        settings.tenants.clear();
        settings.overQuotaPriorityFactor = 0.1;
        settings.tenants.add(new Tenant("over quota", 1));
        settings.tenants.add(new Tenant("within quota", 100_000));
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 103).withEndpoints(ENDPOINTS);
        for (int i = 0; i < 100; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT, 1, 1_000_000);
            // One response in five is later than its latency objective.
            if (instance.attemptCount(id) > 0) {
                instance.completeLastAttempt(id, AttemptResult.OK, i % 5 == 3 ? 210_000 : 5_000);
            }
            instance.advance(2_000_000);
        }
        int before = instance.startedAttempts.size();
        for (int i = 0; i < 40; i++) {
            instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT, tenant, 1_000_000);
        }
        return instance.startedAttempts.size() - before;
    }

    /** Guards against initial limits that are so high that no instance reaches them, so that none would cut them. */
    @Test
    void initialLimitsOfAllInstancesTogetherDoNotOverloadAnEndpoint() {
        int inFlight = 0;
        for (int index = 0; index < 14; index++) {
            LoadBalancerSettings settings = LoadBalancerFixture.settings();
            settings.instances = 14;
            settings.instanceIndex = index;
            settings.endpointsCacheKeys = true;
            LoadBalancerFixture instance = new LoadBalancerFixture(settings, 100 + index).withEndpoints(1);
            for (int i = 0; i < 10; i++) {
                instance.sendRequestWithKey("k" + i, LoadBalancerFixture.NON_IDEMPOTENT);
            }
            inFlight += instance.startedAttempts.size();
        }
        // The upper bound is twice the number of requests that two cores with a queue of ten each serve in time.
        assertTrue(inFlight >= 14 && inFlight <= 40, "in flight at one endpoint: " + inFlight);
    }
}

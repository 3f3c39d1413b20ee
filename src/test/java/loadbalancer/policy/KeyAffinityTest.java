package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

/** Tests for key affinity: if endpoints cache keys, the key of a request determines which endpoints are picked. */
class KeyAffinityTest {
    private static final int ENDPOINTS = 20;
    private static final int KEYS = 400;

    private static LoadBalancerFixture instance(int index, boolean endpointsCacheKeys) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = 4;
        settings.instanceIndex = index;
        settings.endpointsCacheKeys = endpointsCacheKeys;
        settings.crossZoneCost = 0.01;
        return new LoadBalancerFixture(settings, 50 + index).withEndpoints(ENDPOINTS);
    }

    private static String sendAndComplete(LoadBalancerFixture instance, String key, AttemptResult result) {
        long id = instance.sendRequestWithKey(key, LoadBalancerFixture.NON_IDEMPOTENT);
        String endpoint = instance.lastAttempt(id).endpointId();
        instance.completeLastAttempt(id, result, 5_000);
        return endpoint;
    }

    private static Map<String, String> endpointsByKey(LoadBalancerFixture instance) {
        Map<String, String> endpoints = new HashMap<>();
        for (int k = 0; k < KEYS; k++) {
            endpoints.put("k" + k, sendAndComplete(instance, "k" + k, AttemptResult.OK));
        }
        return endpoints;
    }

    /** Sends a request that stays in flight and returns the endpoint of its attempt. */
    private static String send(LoadBalancerFixture instance, String key) {
        return instance.lastAttempt(instance.sendRequestWithKey(key, LoadBalancerFixture.NON_IDEMPOTENT))
                .endpointId();
    }

    @Test
    void allInstancesPickTheSameEndpointForAKey() {
        assertEquals(endpointsByKey(instance(0, true)), endpointsByKey(instance(1, true)));
    }

    @Test
    void keysAreSpreadOverAllEndpoints() {
        Map<String, Integer> keyCounts = new HashMap<>();
        endpointsByKey(instance(0, true)).values().forEach(endpoint -> keyCounts.merge(endpoint, 1, Integer::sum));
        assertEquals(ENDPOINTS, keyCounts.size());
        keyCounts.forEach((endpoint, count) ->
                assertTrue(count >= 6 && count <= 40, endpoint + " has " + count + " of 400 keys"));
    }

    @Test
    void keysAreIgnoredIfEndpointsDoNotCacheThem() {
        LoadBalancerFixture instance = instance(0, false);
        Map<String, Integer> attemptsByEndpoint = new HashMap<>();
        for (int i = 0; i < 100; i++) {
            attemptsByEndpoint.merge(sendAndComplete(instance, "same", AttemptResult.OK), 1, Integer::sum);
        }
        assertTrue(attemptsByEndpoint.size() > 10, attemptsByEndpoint.toString());
    }

    @Test
    void theSecondPickOfAKeyIsUsedWhileTheFirstHasMoreRequestsInFlight() {
        LoadBalancerFixture instance = instance(0, true);
        String first = send(instance, "hot");
        String second = send(instance, "hot");
        assertNotEquals(first, second);
        for (int i = 0; i < 2; i++) {
            assertEquals(first, send(instance, "hot"));
            assertEquals(second, send(instance, "hot"));
        }
    }

    @Test
    void removingAnEndpointMovesItsOwnKeysAndFewOthers() {
        LoadBalancerFixture instance = instance(0, true);
        Map<String, String> before = endpointsByKey(instance);
        instance.receiveEndpointList(
                EndpointListKind.CHANGES, List.of(new EndpointListEntry("s7", 0, 0, EndpointState.REMOVED, 1, 0)));
        Map<String, String> after = endpointsByKey(instance);
        long moved = before.keySet().stream()
                .filter(key -> !before.get(key).equals("s7") && !before.get(key).equals(after.get(key)))
                .count();
        assertTrue(!after.containsValue("s7"));
        assertTrue(moved < KEYS / 8, "other keys moved: " + moved);
    }

    @Test
    void anEndpointWithErrorsLosesKeysAndTheOthersKeepTheirs() {
        LoadBalancerFixture instance = instance(0, true);
        Map<String, String> before = endpointsByKey(instance);
        String key = before.keySet().stream()
                .sorted()
                .filter(candidate -> before.get(candidate).equals("s3"))
                .findFirst()
                .get();
        // Errors at s3 lower its weight, so that some of its keys are picked elsewhere.
        assertEquals("s3", sendAndComplete(instance, key, AttemptResult.ERROR));
        for (int i = 0;
                i < KEYS
                        && !sendAndComplete(instance, "x" + i, AttemptResult.ERROR)
                                .equals("s3");
                i++) {
            instance.receiveEndpointList(EndpointListKind.COMPLETE, List.of());
            instance.withEndpoints(ENDPOINTS);
        }
        long stayed = 0;
        long moved = 0;
        for (Map.Entry<String, String> entry : before.entrySet()) {
            long id = instance.sendRequestWithKey(entry.getKey(), LoadBalancerFixture.NON_IDEMPOTENT);
            String endpointBefore = entry.getValue();
            String endpointAfter = instance.lastAttempt(id).endpointId();
            stayed += endpointBefore.equals("s3") && endpointAfter.equals("s3") ? 1 : 0;
            moved += !endpointBefore.equals("s3") && !endpointAfter.equals(endpointBefore) ? 1 : 0;
            instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
            instance.completeLastAttempt(id, AttemptResult.CANCELLED, 0);
        }
        long keysBefore = before.values().stream().filter("s3"::equals).count();
        assertTrue(stayed < keysBefore, "keys that stayed at s3: " + stayed + " of " + keysBefore);
        assertTrue(moved < KEYS / 20, "other keys moved: " + moved);
    }

    @Test
    void aRequestIsQueuedWhileAllEndpointsOfItsKeyAreAtTheirLimits() {
        LoadBalancerFixture instance = instance(0, true);
        Map<String, Integer> used = new HashMap<>();
        long id = 0;
        for (int i = 0; i < 400; i++) {
            id = instance.sendRequestWithKey("hot", LoadBalancerFixture.NON_IDEMPOTENT);
            if (instance.lastAttempt(id) != null) {
                used.merge(instance.lastAttempt(id).endpointId(), 1, Integer::sum);
            }
        }
        assertTrue(used.size() >= 2 && used.size() <= 8, used.toString());
        assertNull(instance.lastAttempt(id));
        // The queued request does not delay requests with other keys for long.
        long other = instance.sendRequestWithKey("cool", LoadBalancerFixture.NON_IDEMPOTENT);
        instance.advance(10_000);
        assertNotNull(instance.lastAttempt(other));
    }

    @Test
    void aRejectionCutsAHighInitialLimitToTheRequestsInFlightIfEndpointsCacheKeys() {
        LoadBalancerFixture instance = instance(0, true);
        long[] ids = new long[24];
        for (int i = 0; i < ids.length; i++) {
            ids[i] = instance.sendRequestWithKey("hot", LoadBalancerFixture.NON_IDEMPOTENT);
            assertEquals(1, instance.attemptCount(ids[i]));
        }
        instance.completeLastAttempt(ids[0], AttemptResult.REJECTED, 1_000);
        String rejecting = instance.startedAttempts.get(0).endpointId();
        long attempts = 0;
        for (int i = 0; i < 24; i++) {
            LoadBalancerFixture.StartedAttempt attempt =
                    instance.lastAttempt(instance.sendRequestWithKey("hot", LoadBalancerFixture.NON_IDEMPOTENT));
            attempts += attempt != null && attempt.endpointId().equals(rejecting) ? 1 : 0;
        }
        assertTrue(attempts <= 1, "attempts at the rejecting endpoint: " + attempts);
    }

    /** Guards against retries at endpoints that have not cached the key. */
    @Test
    void aRejectedRequestIsRetriedAtTheEndpointsOfItsKey() {
        List<List<String>> attemptedEndpoints = new ArrayList<>();
        for (int index = 0; index < 4; index++) {
            LoadBalancerFixture instance = instance(index, true);
            long id = instance.sendRequestWithKey("hot", LoadBalancerFixture.NON_IDEMPOTENT);
            instance.completeLastAttempt(id, AttemptResult.REJECTED, 1_000);
            instance.completeLastAttempt(id, AttemptResult.REJECTED, 1_000);
            attemptedEndpoints.add(instance.startedAttempts.stream()
                    .map(LoadBalancerFixture.StartedAttempt::endpointId)
                    .toList());
        }
        assertEquals(3, new HashSet<>(attemptedEndpoints.get(0)).size());
        // All instances retry in the same order.
        assertEquals(1, new HashSet<>(attemptedEndpoints).size());
    }

    @Test
    void anAddedEndpointStartsWithTheLimitOfTheOthers() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.endpointsCacheKeys = true;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 3).withEndpoints(2);
        List<Long> started = new ArrayList<>();
        for (int k = 0; k < 8; k++) {
            started.add(instance.sendRequestWithKey("k" + k, LoadBalancerFixture.NON_IDEMPOTENT));
        }
        // Each endpoint rejects one request, which cuts its limit to its requests in flight.
        for (String endpoint : List.of("s0", "s1")) {
            long rejected = started.stream()
                    .filter(id -> instance.lastAttempt(id).endpointId().equals(endpoint))
                    .findFirst()
                    .get();
            instance.completeLastAttempt(rejected, AttemptResult.REJECTED, 0);
        }
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(LoadBalancerFixture.readyEndpoint("s2")));
        for (int k = 0; k < 300; k++) {
            instance.sendRequestWithKey("j" + k, LoadBalancerFixture.NON_IDEMPOTENT);
        }
        assertTrue(instance.attemptCountAt("s2") > 0, "no attempt at the added endpoint");
        assertTrue(
                instance.attemptCountAt("s2") <= 10,
                "attempts at the added endpoint at once: " + instance.attemptCountAt("s2"));
    }

    /** The latency objective is 200 ms, half of which is 100 ms. */
    @Test
    void responsesWithinHalfOfTheirLatencyObjectiveDoNotCutTheLimit() {
        assertEquals(10, attemptsAtOnceAfterResponses(100_000));
    }

    @Test
    void responsesWellBeyondHalfOfTheirLatencyObjectiveCutTheLimit() {
        int attempts = attemptsAtOnceAfterResponses(130_000);
        assertTrue(attempts <= 2, "attempts at once at a slow endpoint: " + attempts);
    }

    /** Returns how many of ten simultaneous requests are sent to an endpoint whose responses had this latency. */
    private static int attemptsAtOnceAfterResponses(long latencyUs) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.endpointsCacheKeys = true;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 7).withEndpoints(1);
        for (int i = 0; i < 30; i++) {
            long id = instance.sendRequestWithKey("k" + i, LoadBalancerFixture.NON_IDEMPOTENT);
            instance.completeLastAttempt(id, AttemptResult.OK, latencyUs);
        }
        for (int i = 0; i < 10; i++) {
            instance.sendRequestWithKey("k" + i, LoadBalancerFixture.NON_IDEMPOTENT);
        }
        return instance.startedAttempts.size() - 30;
    }
}

package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests for slow start at one instance, which spends its share of the budget of an endpoint that is warming up. */
class SlowStartTest {

    /** Id of the endpoint that is warming up; the hash of the id determines the keys that the endpoint gets. */
    private static final String WARMING = "cold";

    private static EndpointListEntry warmingEndpointStartedAt(long atUs) {
        return new EndpointListEntry(WARMING, 0, 0, EndpointState.READY, 1, atUs);
    }

    @Test
    void theBudgetOfAWarmingEndpointDoesNotDependOnTheArrivalRate() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        for (int i = 0; i < 400; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(warmingEndpointStartedAt(instance.nowUs)));
        // With 100 responses per second from five endpoints, an even share is 20 per second. A warming endpoint gets a
        // fifth of it.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT));
            }
            instance.advance(10_000);
            // Only one request in ten gets a response, so that ten times as many arrive as the endpoints serve.
            burst.stream()
                    .map(instance::lastAttempt)
                    .filter(attempt -> attempt != null && !attempt.endpointId().equals(WARMING))
                    .findFirst()
                    .ifPresent(attempt -> instance.completeLastAttempt(attempt.requestId(), AttemptResult.OK, 0));
        }
        long attemptsAtWarming = instance.attemptCountAt(WARMING);
        assertTrue(
                attemptsAtWarming >= 1 && attemptsAtWarming <= 16,
                "attempts at the warming endpoint in two seconds: " + attemptsAtWarming);
    }

    /** Guards against relying on the start time in the list: the wall clock behind it may be stepped by any amount. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000_000L, -5_000_000, 0, 5_000_000, 3_600_000_000L})
    void slowStartBeginsAtTheNotificationWhateverTheStartTimeInTheList(long listAheadUs) {
        LoadBalancerFixture instance = new LoadBalancerFixture();
        instance.nowUs = 10_000_000_000L;
        instance.withEndpoints(3);
        instance.receiveEndpointList(
                EndpointListKind.COMPLETE,
                List.of(
                        LoadBalancerFixture.readyEndpoint("s0"),
                        LoadBalancerFixture.readyEndpoint("s1"),
                        LoadBalancerFixture.readyEndpoint("s2")));
        for (int i = 0; i < 100; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        instance.receiveEndpointList(
                EndpointListKind.CHANGES, List.of(warmingEndpointStartedAt(instance.nowUs + listAheadUs)));
        for (int i = 0; i < 300; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        long attemptsAtWarming = instance.attemptCountAt(WARMING);
        assertTrue(
                attemptsAtWarming >= 2 && attemptsAtWarming <= 25,
                "attempts at the warming endpoint, one of four, in 300 requests: " + attemptsAtWarming);
        instance.advance(LoadBalancerFixture.settings().slowStartUs);
        for (int i = 0; i < 300; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        long attemptsAfterSlowStart = instance.attemptCountAt(WARMING) - attemptsAtWarming;
        assertTrue(
                attemptsAfterSlowStart >= 50,
                "attempts at it in 300 requests after slow start: " + attemptsAfterSlowStart);
    }

    /** If the clock of a starting instance is behind, the start times in its first list are in the future. */
    @Test
    void slowStartEndsInTimeIfTheFirstListHasAStartTimeInTheFuture() {
        LoadBalancerFixture instance = new LoadBalancerFixture();
        instance.nowUs = 10_000_000_000L;
        instance.receiveEndpointList(
                EndpointListKind.CACHED, List.of(warmingEndpointStartedAt(instance.nowUs + 3_600_000_000L)));
        instance.advance(LoadBalancerFixture.settings().slowStartUs);
        for (int i = 0; i < 100; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        assertEquals(100, instance.attemptCountAt(WARMING));
    }

    @Test
    void aStartingInstanceDoesNotOverloadAWarmingEndpoint() {
        LoadBalancerFixture instance = new LoadBalancerFixture();
        instance.receiveEndpointList(
                EndpointListKind.CACHED,
                List.of(warmingEndpointStartedAt(instance.nowUs - 100_000), LoadBalancerFixture.readyEndpoint("warm")));
        for (int i = 0; i < 200; i++) {
            instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            instance.advance(1_000);
        }
        long attemptsAtWarming = instance.attemptCountAt(WARMING);
        assertTrue(attemptsAtWarming <= 2, "attempts at the warming endpoint in 0.2 s: " + attemptsAtWarming);
    }

    @Test
    void slowStartDoesNotDependOnTheOriginOfTheClock() {
        // Guards against counting the first interval between responses from the origin of the clock.
        List<Long> attemptsByStart = new ArrayList<>();
        for (long startUs : new long[] {1_000_000, 900_000_000_000L}) {
            LoadBalancerFixture instance = new LoadBalancerFixture();
            instance.nowUs = startUs;
            instance.withEndpoints(3);
            for (int i = 0; i < 100; i++) {
                instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(warmingEndpointStartedAt(instance.nowUs)));
            for (int i = 0; i < 300; i++) {
                instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            attemptsByStart.add(instance.attemptCountAt(WARMING));
        }
        assertEquals(attemptsByStart.get(0), attemptsByStart.get(1));
        assertTrue(
                attemptsByStart.get(0) > 1,
                "attempts at the warming endpoint in three seconds: " + attemptsByStart.get(0));
    }

    @Test
    void theLimitOfAWarmingEndpointDoesNotExceedTheOthers() {
        // A warming endpoint responds quickly to its few requests. Guards against a limit that grows with these
        // responses and overloads the endpoint after slow start.
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = 8;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 5);
        instance.receiveEndpointList(
                EndpointListKind.CACHED,
                List.of(warmingEndpointStartedAt(instance.nowUs), LoadBalancerFixture.readyEndpoint("warm")));
        long slowStartEndsAtUs = instance.nowUs + settings.slowStartUs;
        int completed = 0;
        while (instance.nowUs < slowStartEndsAtUs) {
            for (int i = 0; i < 3; i++) {
                instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            }
            for (; completed < instance.startedAttempts.size(); completed++) {
                LoadBalancerFixture.StartedAttempt attempt = instance.startedAttempts.get(completed);
                instance.completeLastAttempt(
                        attempt.requestId(),
                        AttemptResult.OK,
                        attempt.endpointId().equals(WARMING) ? 10_000 : 150_000);
            }
            instance.advance(50_000);
        }
        instance.advance(3_000_000);
        long before = instance.attemptCountAt(WARMING);
        for (int step = 0; step < 20; step++) {
            instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            instance.advance(50_000);
            while (completed < instance.startedAttempts.size()
                    && instance.startedAttempts.get(completed).startedAtUs() <= instance.nowUs - 150_000) {
                instance.completeLastAttempt(
                        instance.startedAttempts.get(completed++).requestId(), AttemptResult.OK, 0);
            }
        }
        long attemptsAfterSlowStart = instance.attemptCountAt(WARMING) - before;
        assertTrue(attemptsAfterSlowStart <= 3, "attempts in a second after slow start: " + attemptsAfterSlowStart);
    }

    @Test
    void aWarmingEndpointGetsFewerAttemptsIfEndpointsCacheKeys() {
        long withoutCaches = attemptsAtNewEndpoint(false);
        long withCaches = attemptsAtNewEndpoint(true);
        assertTrue(
                withCaches > 0 && 2 * withCaches <= withoutCaches,
                "attempts with key caches: " + withCaches + ", without: " + withoutCaches);
    }

    private static long attemptsAtNewEndpoint(boolean endpointsCacheKeys) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.endpointsCacheKeys = endpointsCacheKeys;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 9).withEndpoints(4);
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(warmingEndpointStartedAt(instance.nowUs)));
        sendWithKeys(instance, 1_000, 10_000);
        return instance.attemptCountAt(WARMING);
    }

    /** Guards against a cost of uncached keys that does not decrease while the endpoint warms up. */
    @Test
    void anAlmostWarmEndpointGetsAlmostAsManyAttemptsIfEndpointsCacheKeys() {
        long withoutCaches = attemptsAtAlmostWarmEndpoint(false);
        long withCaches = attemptsAtAlmostWarmEndpoint(true);
        assertTrue(
                3 * withCaches >= 2 * withoutCaches,
                "attempts with key caches: " + withCaches + ", without: " + withoutCaches);
    }

    private static long attemptsAtAlmostWarmEndpoint(boolean endpointsCacheKeys) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.tenants.set(0, new Tenant("tenant", 50));
        settings.endpointsCacheKeys = endpointsCacheKeys;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 9);
        instance.nowUs = 60_000_000;
        instance.withEndpoints(4);
        long startedAtUs = instance.nowUs - settings.slowStartUs * 3 / 4;
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(warmingEndpointStartedAt(startedAtUs)));
        sendWithKeys(instance, 900, 5_000);
        return instance.attemptCountAt(WARMING);
    }

    /** Sends requests one at a time, cycling through 300 keys, and completes each with this latency. */
    private static void sendWithKeys(LoadBalancerFixture instance, int requests, long latencyUs) {
        for (int i = 0; i < requests; i++) {
            long id = instance.sendRequestWithKey("k" + i % 300, LoadBalancerFixture.NON_IDEMPOTENT);
            instance.completeLastAttempt(id, AttemptResult.OK, latencyUs);
        }
    }
}

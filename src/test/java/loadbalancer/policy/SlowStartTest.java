package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Slow start at one instance: its share of the budget of an endpoint that is warming up. */
class SlowStartTest {

    /** The id of the endpoint that is warming up; the keys that it gets follow from its hash. */
    private static final String WARMING = "cold";

    private static EndpointListEntry startedAt(long atUs) {
        return new EndpointListEntry(WARMING, 0, 0, EndpointState.READY, 1, atUs);
    }

    @Test
    void aWarmingEndpointGetsItsBudgetWhateverTheArrivalRate() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        for (int i = 0; i < 400; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(startedAt(instance.nowUs)));
        // 100 responses a second from five endpoints: an even share is 20 a second, of which a warming endpoint gets a
        // fifth.
        for (int round = 0; round < 200; round++) {
            List<Long> burst = new ArrayList<>();
            for (int i = 0; i < 10; i++) {
                burst.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT));
            }
            instance.advance(10_000);
            // Only one of ten gets a response, so that arrivals are ten times what the endpoints serve.
            burst.stream()
                    .map(instance::lastAttempt)
                    .filter(attempt -> attempt != null && !attempt.endpointId().equals(WARMING))
                    .findFirst()
                    .ifPresent(attempt -> instance.completeLastAttempt(attempt.requestId(), AttemptResult.OK, 0));
        }
        long atWarming = instance.attemptCountAt(WARMING);
        assertTrue(atWarming >= 1 && atWarming <= 16, "attempts at the warming endpoint in two seconds: " + atWarming);
    }

    /** The wall clocks of endpoints may be stepped by any amount. */
    @ParameterizedTest
    @ValueSource(longs = {-3_600_000_000L, -5_000_000, 0, 5_000_000, 3_600_000_000L})
    void aRestartCountsFromItsNotificationWhateverTheTimeInTheList(long aheadUs) {
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
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(startedAt(instance.nowUs + aheadUs)));
        for (int i = 0; i < 300; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        long atWarming = instance.attemptCountAt(WARMING);
        assertTrue(atWarming >= 2 && atWarming <= 25, "attempts of 300 at the warming endpoint of four: " + atWarming);
        instance.advance(LoadBalancerFixture.settings().slowStartUs);
        for (int i = 0; i < 300; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        long atWarm = instance.attemptCountAt(WARMING) - atWarming;
        assertTrue(atWarm >= 50, "attempts of 300 after slow start: " + atWarm);
    }

    /** If the instance's clock is behind as it starts, all starts in its first list are in the future. */
    @Test
    void slowStartEndsInTimeForAStartInTheFutureOfTheFirstList() {
        LoadBalancerFixture instance = new LoadBalancerFixture();
        instance.nowUs = 10_000_000_000L;
        instance.receiveEndpointList(EndpointListKind.CACHED, List.of(startedAt(instance.nowUs + 3_600_000_000L)));
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
                List.of(startedAt(instance.nowUs - 100_000), LoadBalancerFixture.readyEndpoint("warm")));
        for (int i = 0; i < 200; i++) {
            instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            instance.advance(1_000);
        }
        long atWarming = instance.attemptCountAt(WARMING);
        assertTrue(atWarming <= 2, "attempts at the warming endpoint in 0.2 s: " + atWarming);
    }

    @Test
    void slowStartDoesNotDependOnTheOriginOfTheClock() {
        // Guards against a first interval between responses that is counted from the origin of the clock.
        List<Long> attemptsByEpoch = new ArrayList<>();
        for (long epoch : new long[] {1_000_000, 900_000_000_000L}) {
            LoadBalancerFixture instance = new LoadBalancerFixture();
            instance.nowUs = epoch;
            instance.withEndpoints(3);
            for (int i = 0; i < 100; i++) {
                instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(startedAt(instance.nowUs)));
            for (int i = 0; i < 300; i++) {
                instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
            }
            attemptsByEpoch.add(instance.attemptCountAt(WARMING));
        }
        assertEquals(attemptsByEpoch.get(0), attemptsByEpoch.get(1));
        assertTrue(
                attemptsByEpoch.get(0) > 1,
                "attempts at the warming endpoint in three seconds: " + attemptsByEpoch.get(0));
    }

    @Test
    void theLimitOfAWarmingEndpointDoesNotGrowPastTheOthers() {
        // Guards against limits that grow with quick responses to single requests and overload the endpoint after slow
        // start.
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = 8;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 5);
        instance.receiveEndpointList(
                EndpointListKind.CACHED, List.of(startedAt(instance.nowUs), LoadBalancerFixture.readyEndpoint("warm")));
        long warmAtUs = instance.nowUs + settings.slowStartUs;
        int completed = 0;
        while (instance.nowUs < warmAtUs) {
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
        long atWarm = instance.attemptCountAt(WARMING) - before;
        assertTrue(atWarm <= 3, "attempts in a second after slow start: " + atWarm);
    }

    @Test
    void aWarmingEndpointGetsLessWhereEndpointsCacheKeys() {
        long withoutCaches = attemptsAtNewEndpoint(false);
        long withCaches = attemptsAtNewEndpoint(true);
        assertTrue(
                withCaches > 0 && 2 * withCaches <= withoutCaches,
                "attempts with cached keys: " + withCaches + ", else " + withoutCaches);
    }

    private static long attemptsAtNewEndpoint(boolean endpointsCacheKeys) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.endpointsCacheKeys = endpointsCacheKeys;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 9).withEndpoints(4);
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(startedAt(instance.nowUs)));
        sendWithKeys(instance, 1_000, 10_000);
        return instance.attemptCountAt(WARMING);
    }

    /** Guards against a cost of uncached keys that does not fall as the endpoint warms up. */
    @Test
    void anAlmostWarmEndpointGetsAlmostTheSameWhereEndpointsCacheKeys() {
        long withoutCaches = attemptsAtAlmostWarmEndpoint(false);
        long withCaches = attemptsAtAlmostWarmEndpoint(true);
        assertTrue(
                3 * withCaches >= 2 * withoutCaches,
                "attempts with cached keys: " + withCaches + ", else " + withoutCaches);
    }

    private static long attemptsAtAlmostWarmEndpoint(boolean endpointsCacheKeys) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.tenants.set(0, new Tenant("tenant", 50));
        settings.endpointsCacheKeys = endpointsCacheKeys;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 9);
        instance.nowUs = 60_000_000;
        instance.withEndpoints(4);
        long startedAtUs = instance.nowUs - settings.slowStartUs * 3 / 4;
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(startedAt(startedAtUs)));
        sendWithKeys(instance, 900, 5_000);
        return instance.attemptCountAt(WARMING);
    }

    /** Serves requests one at a time, with 300 keys in turn. */
    private static void sendWithKeys(LoadBalancerFixture instance, int requests, long latencyUs) {
        for (int i = 0; i < requests; i++) {
            long id = instance.sendRequestWithKey("k" + i % 300, LoadBalancerFixture.NON_IDEMPOTENT);
            instance.completeLastAttempt(id, AttemptResult.OK, latencyUs);
        }
    }
}

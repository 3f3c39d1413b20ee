package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.junit.jupiter.api.Test;

/** Tests the ServiceQ mechanism: weighted picks, requests in flight, error counts, retries and queueing. */
class ServiceQMechanismTest {

    @Test
    void ofTwoEndpointsTheOneWithFewerRequestsInFlightIsPicked() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(2);
        String busy = instance.lastAttempt(instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT))
                .endpointId();
        for (int i = 0; i < 20; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            assertNotEquals(busy, instance.lastAttempt(id).endpointId());
            instance.completeLastAttempt(id, AttemptResult.OK, 10_000);
        }
    }

    @Test
    void withoutErrorsEndpointsWithEqualRequestsInFlightGetEqualShares() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        Map<String, Integer> attemptsByEndpoint = new HashMap<>();
        for (int i = 0; i < 4_000; i++) {
            attemptsByEndpoint.merge(
                    instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 1_000), 1, Integer::sum);
        }
        for (int i = 0; i < 4; i++) {
            assertTrue(Math.abs(attemptsByEndpoint.get("s" + i) - 1_000) < 150, attemptsByEndpoint.toString());
        }
    }

    @Test
    void afterOneErrorTheEndpointWithFewerRequestsInFlightIsStillPicked() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(2);
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        String failed = instance.lastAttempt(id).endpointId();
        instance.completeLastAttempt(id, AttemptResult.ERROR, 1_000);
        long pending = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        String other = instance.lastAttempt(pending).endpointId();
        // With one error, the two picks are still the two endpoints.
        String lessLoaded = other.equals("s0") ? "s1" : "s0";
        assertEquals(
                lessLoaded,
                instance.lastAttempt(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT))
                        .endpointId());
        assertTrue(List.of("s0", "s1").contains(failed));
    }

    @Test
    void anIdempotentRequestIsRetriedAtTheNextEndpointInListOrder() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(5);
        long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        for (int i = 0; i < 3; i++) {
            int failedNumber =
                    Integer.parseInt(instance.lastAttempt(id).endpointId().substring(1));
            instance.completeLastAttempt(id, AttemptResult.ERROR, 1_000);
            assertEquals("s" + (failedNumber + 1) % 5, instance.lastAttempt(id).endpointId());
        }
        instance.completeLastAttempt(id, AttemptResult.ERROR, 1_000);
        assertEquals(4, instance.attemptCount(id));
        assertEquals(List.of(id), instance.rejected);
    }

    @Test
    void aNonIdempotentRequestIsRetriedOnlyIfKnownNotExecuted() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(3);
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        instance.completeLastAttempt(id, AttemptResult.CONNECT_FAILED, 1_000);
        assertEquals(2, instance.attemptCount(id));
        instance.completeLastAttempt(id, AttemptResult.RESET, 1_000);
        assertEquals(2, instance.attemptCount(id));
        assertEquals(List.of(id), instance.failed);
    }

    @Test
    void withoutEndpointsRequestsAreQueuedAndThenDispatchedInOrder() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(0);
        long first = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        long second = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        instance.advance(50_000);
        assertTrue(instance.startedAttempts.isEmpty());
        instance.receiveEndpointList(
                EndpointListKind.CHANGES,
                List.of(LoadBalancerFixture.readyEndpoint("s0"), LoadBalancerFixture.readyEndpoint("s1")));
        assertEquals(
                List.of(first, second),
                instance.startedAttempts.stream()
                        .map(LoadBalancerFixture.StartedAttempt::requestId)
                        .toList());
    }

    @Test
    void aQueuedRequestIsRejectedBeforeItsDeadline() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(0);
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT, 300_000);
        instance.advance(299_999);
        assertEquals(List.of(id), instance.rejected);
        assertFalse(instance.failed.contains(id));
    }
}

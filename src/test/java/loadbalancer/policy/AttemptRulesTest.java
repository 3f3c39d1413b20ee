package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Tests which attempts and which final response a request gets, depending on its idempotency, its deadline and the
 * states of the endpoints.
 */
class AttemptRulesTest {

    private static EndpointListEntry endpoint(String id, int zone, int cell, EndpointState state) {
        return new EndpointListEntry(id, zone, cell, state, 1, 0);
    }

    /**
     * Takes the index of a request class of {@link LoadBalancerFixture}, the result of the first attempt, and whether a
     * retry then follows or the request has failed.
     */
    @ParameterizedTest
    @CsvSource({
        "0, ERROR, retried",
        "0, REJECTED, retried",
        "0, TIMEOUT, retried",
        "0, CONNECT_FAILED, retried",
        "0, RESET, retried",
        "1, ERROR, retried",
        "1, REJECTED, retried",
        "1, TIMEOUT, retried",
        "1, CONNECT_FAILED, retried",
        "1, RESET, retried",
        "3, ERROR, retried",
        "3, REJECTED, retried",
        "3, TIMEOUT, retried",
        "3, CONNECT_FAILED, retried",
        "3, RESET, retried",
        "4, ERROR, failed",
        "4, REJECTED, retried",
        "4, TIMEOUT, failed",
        "4, CONNECT_FAILED, retried",
        "4, RESET, failed",
        "4, CANCELLED, failed",
        "4, NOT_SENT, retried"
    })
    void retriesFollowTheIdempotencyOfTheClass(int classIndex, AttemptResult result, String outcome) {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        long id = instance.sendRequest(classIndex);
        instance.completeLastAttempt(id, result, 1_000);
        assertEquals(outcome.equals("retried") ? 2 : 1, instance.attemptCount(id));
        assertEquals(outcome.equals("failed") ? List.of(id) : List.of(), instance.failed);
        assertEquals(List.of(), instance.rejected);
    }

    @ParameterizedTest
    @ValueSource(ints = {LoadBalancerFixture.KEY_DEDUPLICATED_IN_CELL, LoadBalancerFixture.KEY_DEDUPLICATED_IN_ZONE})
    void aRequestThatMayHaveBeenExecutedStaysInItsDeduplicationScope(int classIndex) {
        LoadBalancerFixture instance = new LoadBalancerFixture();
        instance.receiveEndpointList(
                EndpointListKind.CACHED,
                List.of(
                        endpoint("a", 0, 1, EndpointState.READY),
                        endpoint("x", 1, 2, EndpointState.READY),
                        endpoint("b", 0, 1, EndpointState.READY),
                        endpoint("y", 1, 2, EndpointState.READY)));
        long id = instance.sendRequest(classIndex);
        String first = instance.lastAttempt(id).endpointId();
        instance.completeLastAttempt(id, AttemptResult.RESET, 1_000);
        String second = instance.lastAttempt(id).endpointId();
        assertEquals(2, instance.attemptCount(id));
        assertTrue((first + second).matches("ab|ba|xy|yx"), first + second);
    }

    /** Guards against a response after the deadline, which a suspension of the process by 0.15 s could cause. */
    @ParameterizedTest
    @ValueSource(longs = {1_000_000, 3_000_000})
    void queuedRequestsAreRejectedInTimeForAResponseBeforeTheDeadline(long remainingUs) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        // Since a late response earns some priority weight, a request stays queued after its latency objective.
        settings.classes.set(
                LoadBalancerFixture.NON_IDEMPOTENT,
                new RequestClass(
                        "non-idempotent",
                        200_000,
                        0,
                        3_000_000,
                        1,
                        0.5,
                        Idempotency.NON_IDEMPOTENT,
                        DeduplicationScope.ALL,
                        400_000,
                        false));
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 7).withEndpoints(0);
        long deadlineAtUs = instance.nowUs + remainingUs;
        instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT, remainingUs);
        while (instance.rejected.isEmpty()) {
            instance.advance(5_000);
        }
        long marginUs = deadlineAtUs - instance.nowUs;
        assertTrue(
                marginUs >= Math.min(150_000, remainingUs / 8) - 10_000,
                "rejected " + marginUs + " us before the deadline");
        assertTrue(instance.nowUs < deadlineAtUs);
    }

    @Test
    void aRequestKnownNotExecutedMayBeRetriedOutsideItsDeduplicationScope() {
        LoadBalancerFixture instance = new LoadBalancerFixture();
        instance.receiveEndpointList(
                EndpointListKind.CACHED,
                List.of(endpoint("a", 0, 1, EndpointState.READY), endpoint("x", 1, 2, EndpointState.READY)));
        long id = instance.sendRequest(LoadBalancerFixture.KEY_DEDUPLICATED_IN_CELL);
        instance.completeLastAttempt(id, AttemptResult.REJECTED, 1_000);
        assertEquals(2, instance.attemptCount(id));
    }

    @Test
    void afterItsDeduplicationWindowARequestIsRejectedIfAllEndpointsDeduplicate() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(3);
        long id = instance.sendRequest(LoadBalancerFixture.KEY_DEDUPLICATED_EVERYWHERE);
        instance.completeLastAttempt(id, AttemptResult.ERROR, 400_001);
        assertEquals(1, instance.attemptCount(id));
        assertEquals(List.of(id), instance.rejected);
        assertEquals(List.of(), instance.failed);
    }

    @Test
    void afterItsDeduplicationWindowARequestFailsIfSomeEndpointsDoNotDeduplicate() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(3);
        long id = instance.sendRequest(LoadBalancerFixture.KEY_DEDUPLICATED_IN_CELL);
        instance.completeLastAttempt(id, AttemptResult.ERROR, 400_001);
        assertEquals(1, instance.attemptCount(id));
        assertEquals(List.of(), instance.rejected);
        assertEquals(List.of(id), instance.failed);
    }

    /** The window is 400 ms; a retry starts 150 ms before its end at the latest, because the process may be suspended. */
    @Test
    void theDeduplicationWindowStartsWithTheFirstAttemptThatMayHaveBeenExecuted() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        long id = instance.sendRequest(LoadBalancerFixture.KEY_DEDUPLICATED_EVERYWHERE);
        instance.completeLastAttempt(id, AttemptResult.CONNECT_FAILED, 300_000);
        instance.completeLastAttempt(id, AttemptResult.ERROR, 249_999);
        assertEquals(3, instance.attemptCount(id));
        instance.completeLastAttempt(id, AttemptResult.ERROR, 1);
        assertEquals(3, instance.attemptCount(id));
    }

    @Test
    void aTimeoutAtTheDeadlineEndsTheRequestWithoutRetry() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(3);
        long idempotent = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 100_000);
        long nonIdempotent = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT, 100_000);
        instance.completeLastAttempt(idempotent, AttemptResult.TIMEOUT, 100_000);
        instance.completeLastAttempt(nonIdempotent, AttemptResult.TIMEOUT, 0);
        assertEquals(List.of(idempotent), instance.rejected);
        assertEquals(List.of(nonIdempotent), instance.failed);
        instance.advance(1_000_000);
        assertEquals(1, instance.attemptCount(idempotent));
    }

    @Test
    void anAttemptEndsAtTheDeadlineOfItsRequest() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(3);
        long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 123_000);
        assertEquals(instance.nowUs + 123_000, instance.lastAttempt(id).deadlineUs());
    }

    @Test
    void aDisconnectedClientGetsNeitherRetryNorResponse() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(1);
        long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
        instance.completeLastAttempt(id, AttemptResult.ERROR, 1_000);
        instance.advance(2_000_000);
        assertEquals(1, instance.attemptCount(id));
        assertTrue(instance.rejected.isEmpty() && instance.failed.isEmpty());
        instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
        instance.loadBalancer.onAttemptOutcome(
                instance.nowUs, new AttemptOutcome(id, 0, AttemptResult.OK, 1, true, null));
    }

    @ParameterizedTest
    @EnumSource(
            value = EndpointState.class,
            names = {"DRAINING", "REMOVED"})
    void drainingAndRemovedEndpointsGetNoAttempts(EndpointState state) {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(2);
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(endpoint("s0", 0, 0, state)));
        for (int i = 0; i < 50; i++) {
            AttemptResult result = i % 3 == 0 ? AttemptResult.ERROR : AttemptResult.OK;
            assertEquals("s1", instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, result, 1_000));
            instance.advance(1_100_000);
        }
    }

    @Test
    void removedEndpointsAreForgotten() throws ReflectiveOperationException {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(1);
        for (int i = 0; i < 500; i++) {
            instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(LoadBalancerFixture.readyEndpoint("t" + i)));
            instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.ERROR, 1_000);
            instance.receiveEndpointList(
                    EndpointListKind.CHANGES, List.of(endpoint("t" + i, 0, 0, EndpointState.REMOVED)));
        }
        var registry = ServiceQLoadBalancer.class.getDeclaredField("registry");
        registry.setAccessible(true);
        assertEquals(1, ((EndpointRegistry) registry.get(instance.loadBalancer)).size());
    }

    @Test
    void anEndpointMissingFromACompleteListIsRemoved() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(2);
        instance.receiveEndpointList(EndpointListKind.COMPLETE, List.of(LoadBalancerFixture.readyEndpoint("s1")));
        for (int i = 0; i < 20; i++) {
            assertEquals("s1", instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 1_000));
        }
    }

    @Test
    void aPolledEndpointListIsRequestedAtOnceAndAgainAfterFailuresWithBackoff() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.endpointListPolled = true;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 1).withEndpoints(1);
        assertEquals(1, instance.watchCount);
        for (int failures = 1; failures <= 6; failures++) {
            instance.loadBalancer.onEndpointListFailed(instance.nowUs);
            assertEquals(failures, instance.watchCount);
            instance.advance(settings.pollIntervalUs / 2);
            assertEquals(failures + 1, instance.watchCount);
        }
        instance.receiveEndpointList(EndpointListKind.CHANGES, List.of());
        instance.advance(10 * settings.pollIntervalUs);
        assertEquals(7, instance.watchCount);
    }

    @Test
    void anUnansweredPollIsRepeatedWithinThePollInterval() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.endpointListPolled = true;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 1).withEndpoints(1);
        instance.advance(settings.pollIntervalUs - 1);
        assertTrue(instance.watchCount >= 2);
    }

    @Test
    void settingsOutOfRangeAreRejected() {
        LoadBalancerSettings withoutClasses = new LoadBalancerSettings();
        assertThrows(IllegalArgumentException.class, () -> new LoadBalancerFixture(withoutClasses, 1));
        LoadBalancerSettings negativeDuration = LoadBalancerFixture.settings();
        negativeDuration.slowStartUs = -1;
        assertThrows(IllegalArgumentException.class, () -> new LoadBalancerFixture(negativeDuration, 1));
        LoadBalancerSettings unknownZone = LoadBalancerFixture.settings();
        unknownZone.localZone = 9;
        assertThrows(IllegalArgumentException.class, () -> new LoadBalancerFixture(unknownZone, 1));
    }

    @Test
    void requestsOfUnknownClassOrTenantAreRejected() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(1);
        assertThrows(IllegalArgumentException.class, () -> instance.sendRequest(99));
        assertThrows(
                IllegalArgumentException.class,
                () -> instance.loadBalancer.onRequest(instance.nowUs, new Request(5, 0, 7, 1_000, 0, false, null)));
    }

    @Test
    void aRequestWithTheIdOfAPendingOneIsRejected() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(1);
        instance.loadBalancer.onRequest(instance.nowUs, new Request(6, 0, -1, 1_000_000, 0, false, null));
        assertThrows(
                IllegalArgumentException.class,
                () -> instance.loadBalancer.onRequest(
                        instance.nowUs, new Request(6, 0, -1, 1_000_000, 0, false, null)));
    }
}

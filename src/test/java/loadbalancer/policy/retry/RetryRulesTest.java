package loadbalancer.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;

/** Tests for the retries and rejections that {@link RetryRules} permits, by idempotency of the request class. */
class RetryRulesTest {
    private static final long NOW_US = 1_000;
    private static final int ZONE_CLASS = PolicyTestObjects.KEY_DEDUPLICATED_IN_ZONE;
    private static final int CELL_CLASS = PolicyTestObjects.KEY_DEDUPLICATED_IN_CELL;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final RetryRules rules = new RetryRules(settings);
    private final Endpoint endpoint = PolicyTestObjects.endpoint(settings, "a", 0, 1);

    private PendingRequest requestAfterAttempt(int classIndex, AttemptResult result) {
        PendingRequest request = PolicyTestObjects.request(settings, classIndex, NOW_US);
        request.endAttempt(request.startAttempt(endpoint, NOW_US), result);
        return request;
    }

    @ParameterizedTest
    @EnumSource(AttemptResult.class)
    void aNonIdempotentRequestMayBeRetriedOnlyIfKnownNotExecuted(AttemptResult result) {
        PendingRequest request = requestAfterAttempt(PolicyTestObjects.NON_IDEMPOTENT, result);
        assertEquals(result.knownNotExecuted, rules.mayRetry(request, NOW_US));
    }

    @ParameterizedTest
    @EnumSource(AttemptResult.class)
    void anIdempotentRequestMayBeRetriedAfterAnyResult(AttemptResult result) {
        assertTrue(rules.mayRetry(requestAfterAttempt(PolicyTestObjects.IDEMPOTENT, result), NOW_US));
    }

    /** The window is 400 ms, and the process may be suspended for 150 ms before it writes the retry. */
    @Test
    void aRequestWithIdempotencyKeyMayBeRetriedWithinItsDeduplicationWindow() {
        PendingRequest request =
                requestAfterAttempt(PolicyTestObjects.KEY_DEDUPLICATED_EVERYWHERE, AttemptResult.RESET);
        assertTrue(rules.mayRetry(request, NOW_US + 249_999));
        assertFalse(rules.mayRetry(request, NOW_US + 250_000));
    }

    /** Guards against a send after the window for which the attempt has waited since it started. */
    @Test
    void anAttemptMayBeSentOnlyWithinTheDeduplicationWindowOfAnEarlierOne() {
        PendingRequest request = requestAfterAttempt(CELL_CLASS, AttemptResult.RESET);
        Attempt retry = request.startAttempt(PolicyTestObjects.endpoint(settings, "b", 0, 1), NOW_US + 1);
        assertTrue(rules.isSendPermitted(request, retry, NOW_US + 249_999));
        assertFalse(rules.isSendPermitted(request, retry, NOW_US + 250_000));
    }

    /** Guards against a first attempt that waits while a hedged request beside it is sent and executed. */
    @Test
    void aFirstAttemptMayBeSentOnlyWithinTheDeduplicationWindowOfAHedgedRequest() {
        PendingRequest request = PolicyTestObjects.request(settings, CELL_CLASS, NOW_US);
        Attempt first = request.startAttempt(endpoint, NOW_US);
        assertTrue(rules.isSendPermitted(request, first, NOW_US + 600_000));
        Attempt hedged = request.startAttempt(PolicyTestObjects.endpoint(settings, "b", 0, 1), NOW_US + 100_000);
        assertTrue(rules.isSendPermitted(request, first, NOW_US + 349_999));
        assertFalse(rules.isSendPermitted(request, first, NOW_US + 350_000));
        request.endAttempt(hedged, AttemptResult.CONNECT_FAILED);
        assertTrue(rules.isSendPermitted(request, first, NOW_US + 350_000), "the hedged request was not sent");
    }

    @Test
    void anAttemptMayNotBeSentOnceItsEndpointHasMovedOrHasANewIncarnation() {
        for (int classIndex : new int[] {PolicyTestObjects.NON_IDEMPOTENT, CELL_CLASS}) {
            Endpoint changing = PolicyTestObjects.endpoint(settings, "b", 0, 1);
            PendingRequest request = PolicyTestObjects.request(settings, classIndex, NOW_US);
            Attempt attempt = request.startAttempt(changing, NOW_US);
            assertTrue(rules.isSendPermitted(request, attempt, NOW_US));
            changing.update(new EndpointListEntry("b", 0, 2, EndpointState.READY, 1, 0));
            assertFalse(rules.isSendPermitted(request, attempt, NOW_US));
            changing.update(new EndpointListEntry("b", 0, 1, EndpointState.READY, 1, 0));
            assertTrue(rules.isSendPermitted(request, attempt, NOW_US));
            changing.startIncarnation(NOW_US, NOW_US);
            assertFalse(rules.isSendPermitted(request, attempt, NOW_US));
        }
    }

    @Test
    void anAttemptMayNotBeSentOnceItOrItsRequestHasEnded() {
        PendingRequest request = PolicyTestObjects.request(settings, PolicyTestObjects.IDEMPOTENT, NOW_US);
        Attempt attempt = request.startAttempt(endpoint, NOW_US);
        assertTrue(rules.isSendPermitted(request, attempt, request.deadlineAtUs() - 1));
        assertFalse(rules.isSendPermitted(request, attempt, request.deadlineAtUs()));
        request.finish();
        assertFalse(rules.isSendPermitted(request, attempt, NOW_US));
    }

    /** The scope is that of the endpoint's place when it may have executed the request, not of its place now. */
    @Test
    void endpointsInTheFormerCellOfAnEndpointThatHasMovedArePermitted() {
        Endpoint moving = PolicyTestObjects.endpoint(settings, "b", 0, 1);
        PendingRequest request = PolicyTestObjects.request(settings, CELL_CLASS, NOW_US);
        request.endAttempt(request.startAttempt(moving, NOW_US), AttemptResult.RESET);
        moving.update(new EndpointListEntry("b", 0, 2, EndpointState.READY, 1, 0));
        assertTrue(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "c", 0, 1)));
        assertFalse(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "d", 0, 2)));
    }

    @Test
    void aRequestIsNotRetriedAtItsDeadlineOrLater() {
        PendingRequest request = requestAfterAttempt(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertTrue(rules.mayRetry(request, request.deadlineAtUs() - 1));
        assertFalse(rules.mayRetry(request, request.deadlineAtUs()));
    }

    @Test
    void aRequestIsNotRetriedOnceItHasTheMaximumNumberOfAttempts() {
        settings.maxAttempts = 2;
        PendingRequest request = requestAfterAttempt(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertTrue(rules.mayRetry(request, NOW_US));
        request.startAttempt(endpoint, NOW_US);
        assertFalse(rules.mayRetry(request, NOW_US));
    }

    @Test
    void aRequestIsNotRetriedOnceItsResponseIsStreamed() {
        PendingRequest request = requestAfterAttempt(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        request.setStreaming();
        assertFalse(rules.mayRetry(request, NOW_US));
    }

    @Test
    void endpointsOutsideTheDeduplicationZoneAreNotPermitted() {
        PendingRequest request = requestAfterAttempt(ZONE_CLASS, AttemptResult.TIMEOUT);
        assertTrue(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "b", 0, 2)));
        assertFalse(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "b", 1, 1)));
    }

    @Test
    void endpointsOutsideTheDeduplicationCellAreNotPermitted() {
        PendingRequest request = requestAfterAttempt(CELL_CLASS, AttemptResult.TIMEOUT);
        assertTrue(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "b", 1, 1)));
        assertFalse(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "b", 0, 2)));
    }

    @ParameterizedTest
    @ValueSource(
            ints = {
                PolicyTestObjects.IDEMPOTENT,
                PolicyTestObjects.KEY_DEDUPLICATED_EVERYWHERE,
                PolicyTestObjects.NON_IDEMPOTENT
            })
    void requestsOfClassesWithoutZoneOrCellScopeArePermittedAtAllEndpoints(int classIndex) {
        PendingRequest request = requestAfterAttempt(classIndex, AttemptResult.TIMEOUT);
        assertTrue(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "b", 1, 2)));
    }

    @Test
    void aRequestKnownNotExecutedIsPermittedAtAllEndpoints() {
        PendingRequest request = requestAfterAttempt(CELL_CLASS, AttemptResult.REJECTED);
        assertTrue(rules.permitsAttemptAt(request, PolicyTestObjects.endpoint(settings, "b", 1, 2)));
    }

    @ParameterizedTest
    @CsvSource({"0, true", "1, true", "2, false", "3, false", "4, false"})
    void aRequestThatMayHaveBeenExecutedMayBeRejectedOnlyIfItIsSafeToRetryAtAllEndpoints(
            int classIndex, boolean expected) {
        assertEquals(expected, rules.mayReject(requestAfterAttempt(classIndex, AttemptResult.RESET)));
    }

    @ParameterizedTest
    @ValueSource(ints = {0, 1, 2, 3, 4})
    void aRequestKnownNotExecutedMayBeRejected(int classIndex) {
        assertTrue(rules.mayReject(requestAfterAttempt(classIndex, AttemptResult.NOT_SENT)));
    }
}

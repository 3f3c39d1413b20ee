package loadbalancer.policy.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.Request;
import loadbalancer.policy.RequestClass;

/** Tests for the times, phases, attempts and priority of a {@link PendingRequest}. */
class PendingRequestTest {
    private static final long NOW_US = 5_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final Endpoint endpoint = PolicyTestObjects.endpoint(settings, "a");
    private final PendingRequest request = PolicyTestObjects.request(settings, PolicyTestObjects.IDEMPOTENT, NOW_US);

    private PendingRequest requestWithRemaining(int classIndex, long remainingUs, long workUs) {
        return new PendingRequest(new Request(1, classIndex, 0, remainingUs, workUs, false, null), settings, NOW_US);
    }

    /** Adds a class whose latency objective is 200 ms plus twice the request's work, and returns its index. */
    private int addClassWithWorkDependentObjective() {
        settings.classes.add(new RequestClass(
                "work-dependent",
                200_000,
                2,
                1_000_000,
                1,
                0,
                Idempotency.IDEMPOTENT,
                DeduplicationScope.ALL,
                0,
                false));
        return settings.classes.size() - 1;
    }

    @Test
    void deadlineAndLatencyObjectiveCountFromTheArrival() {
        assertEquals(1_005_000, request.deadlineAtUs());
        assertEquals(205_000, request.latencyObjectiveAtUs());
        assertEquals(200_000, request.latencyObjectiveUs());
    }

    @Test
    void theLatencyObjectiveIsNotAfterTheDeadline() {
        assertEquals(
                105_000,
                requestWithRemaining(PolicyTestObjects.IDEMPOTENT, 100_000, 0).latencyObjectiveAtUs());
    }

    @Test
    void theDeadlineOfARequestWithoutTimeLeftIsItsArrival() {
        assertEquals(
                NOW_US,
                requestWithRemaining(PolicyTestObjects.IDEMPOTENT, -1, 0).deadlineAtUs());
    }

    @Test
    void theLatencyObjectiveGrowsWithTheWork() {
        assertEquals(
                400_000,
                requestWithRemaining(addClassWithWorkDependentObjective(), 3_000_000, 100_000)
                        .latencyObjectiveUs());
    }

    @Test
    void theLatencyObjectiveGrowsNoFurtherThanTheDeadlineOfTheClass() {
        assertEquals(
                1_000_000,
                requestWithRemaining(addClassWithWorkDependentObjective(), 3_000_000, 900_000)
                        .latencyObjectiveUs());
    }

    @Test
    void aFinishedRequestCannotBeQueuedOrDequeued() {
        request.enqueue();
        assertTrue(request.isQueued());
        request.dequeue();
        assertFalse(request.isQueued());
        request.finish();
        assertThrows(IllegalStateException.class, request::enqueue);
        assertThrows(IllegalStateException.class, request::dequeue);
    }

    @Test
    void aFinishedRequestCanBeForgottenOnceItHasNoAttemptsInFlight() {
        Attempt attempt = request.startAttempt(endpoint, NOW_US);
        request.finish();
        assertFalse(request.canBeRemoved());
        request.endAttempt(attempt, AttemptResult.OK);
        assertTrue(request.canBeRemoved());
    }

    @Test
    void attemptsKnownNotExecutedDoNotRestrictRetries() {
        Attempt first = request.startAttempt(endpoint, NOW_US);
        request.endAttempt(first, AttemptResult.CONNECT_FAILED);
        assertNull(request.firstPossiblyExecutedAttempt());
        Attempt second = request.startAttempt(endpoint, NOW_US);
        assertSame(second, request.firstPossiblyExecutedAttempt());
        request.endAttempt(second, AttemptResult.RESET);
        request.startAttempt(endpoint, NOW_US);
        assertSame(second, request.firstPossiblyExecutedAttempt());
    }

    @Test
    void attemptsAreNumberedInTheirOrder() {
        Attempt first = request.startAttempt(endpoint, NOW_US);
        Attempt second = request.startAttempt(endpoint, NOW_US);
        assertSame(first, request.attempt(0));
        assertSame(second, request.attempt(1));
        assertEquals(1, second.number());
        assertNull(request.attempt(2));
        assertNull(request.attempt(-1));
        assertEquals(2, request.attemptCount());
        assertEquals(2, request.inFlight());
    }

    @Test
    void onlyEndpointsWithAnAttemptHaveBeenTried() {
        request.startAttempt(endpoint, NOW_US);
        assertTrue(request.hasTried(endpoint));
        assertFalse(request.hasTried(PolicyTestObjects.endpoint(settings, "b")));
    }

    @Test
    void thePriorityOfALateRequestIsMultipliedByTheLatePriorityFactor() {
        PolicyTestObjects.setLatePriorityFactor(settings, PolicyTestObjects.IDEMPOTENT, 0.25);
        PendingRequest late = PolicyTestObjects.request(settings, PolicyTestObjects.IDEMPOTENT, NOW_US);
        late.setPriority(8);
        late.setLate();
        assertTrue(late.isLate());
        assertEquals(2, late.priority());
    }

    @Test
    void aKeyGivesAffinityOnlyIfEndpointsCacheKeys() {
        assertFalse(PolicyTestObjects.request(settings, 0, "key", NOW_US).hasKeyAffinity());
        settings.endpointsCacheKeys = true;
        PendingRequest withKey = PolicyTestObjects.request(settings, 0, "key", NOW_US);
        assertTrue(withKey.hasKeyAffinity());
        assertEquals(KeyHash.seedOf("key"), withKey.keySeed());
        assertFalse(PolicyTestObjects.request(settings, 0, NOW_US).hasKeyAffinity());
    }
}

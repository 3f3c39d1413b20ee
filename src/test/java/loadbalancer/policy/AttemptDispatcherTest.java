package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.admission.RequestQueue;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/** Tests the attempts, retries, hedged requests and final responses of {@link AttemptDispatcher}. */
class AttemptDispatcherTest {
    private static final long NOW_US = DecisionModuleParts.NOW_US;
    private static final long DEADLINE_US = NOW_US + 1_000_000;

    private final DecisionModuleParts parts = new DecisionModuleParts();
    private final Endpoint[] endpoints = parts.activateEndpoints("a", "b");
    private final AttemptDispatcher dispatcher = parts.dispatcher;
    private final RecordingActions actions = parts.actions;
    private final RequestQueue queue =
            new RequestQueue(parts.settings, new LatencyStatistics(parts.settings.classes.size()), 5_000, dispatcher);

    /** Adds a request, starts an attempt of it at the first endpoint, and returns the request. */
    private PendingRequest startRequest(int classIndex) {
        PendingRequest request = parts.request(classIndex);
        dispatcher.add(request);
        dispatcher.startAttempt(request, endpoints[0], NOW_US);
        return request;
    }

    /** Ends the attempt of a new request with this result, lets the dispatcher handle that, and returns the request. */
    private PendingRequest startAndRetryRequest(int classIndex, AttemptResult result) {
        PendingRequest request = startRequest(classIndex);
        request.endAttempt(request.attempt(0), result);
        dispatcher.retryOrFinish(request, endpoints[0], queue, NOW_US);
        return request;
    }

    private static String formatAttempt(PendingRequest request, String endpointId) {
        return request.id() + " at " + endpointId + " until " + DEADLINE_US;
    }

    @Test
    void anAttemptHasTheDeadlineOfItsRequestAndCountsAsInFlight() {
        PendingRequest request = startRequest(PolicyTestObjects.IDEMPOTENT);
        assertEquals(List.of(formatAttempt(request, "a")), actions.startedAttempts);
        assertEquals(1, endpoints[0].concurrency().inFlight());
        assertEquals(NOW_US, endpoints[0].lastAttemptAtUs());
    }

    @Test
    void aFailedAttemptIsRetriedAtTheNextEndpoint() {
        PendingRequest request = startAndRetryRequest(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertEquals(List.of(formatAttempt(request, "a"), formatAttempt(request, "b")), actions.startedAttempts);
    }

    @Test
    void aRequestIsQueuedIfNoEndpointHasCapacityForItsRetry() {
        endpoints[1].concurrency().setLimit(0.5);
        endpoints[1].concurrency().incrementInFlight();
        PendingRequest request = startAndRetryRequest(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertTrue(request.isQueued());
        assertFalse(queue.isEmpty());
    }

    @Test
    void aRequestThatMustNotBeRetriedFailsAndIsRemoved() {
        PendingRequest request = startAndRetryRequest(PolicyTestObjects.NON_IDEMPOTENT, AttemptResult.ERROR);
        assertEquals(List.of(request.id()), actions.failed);
        assertEquals(List.of(), actions.rejected);
        assertNull(dispatcher.find(request.id()));
    }

    @Test
    void withoutALeaseARequestIsRejectedInsteadOfRetried() {
        parts.lease.onLeaseChanged(NOW_US, NOW_US);
        PendingRequest request = startAndRetryRequest(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertEquals(List.of(request.id()), actions.rejected);
        assertEquals(1, actions.startedAttempts.size());
    }

    @Test
    void anUnresponsiveAttemptIsHedgedAtAnotherEndpoint() {
        PendingRequest request = startRequest(PolicyTestObjects.IDEMPOTENT);
        dispatcher.hedge(request, endpoints[0], NOW_US);
        assertEquals(List.of(formatAttempt(request, "a"), formatAttempt(request, "b")), actions.startedAttempts);
    }

    @Test
    void aRequestIsNotHedgedTwice() {
        Endpoint[] three = parts.activateEndpoints("a", "b", "c");
        PendingRequest request = parts.request(PolicyTestObjects.IDEMPOTENT);
        dispatcher.startAttempt(request, three[0], NOW_US);
        dispatcher.hedge(request, three[0], NOW_US);
        dispatcher.hedge(request, three[0], NOW_US);
        assertEquals(2, request.attemptCount());
    }

    @Test
    void nonIdempotentRequestsAreNotHedged() {
        PendingRequest request = startRequest(PolicyTestObjects.NON_IDEMPOTENT);
        dispatcher.hedge(request, endpoints[0], NOW_US);
        assertEquals(1, request.attemptCount());
    }

    @Test
    void nothingIsHedgedWhereHedgingIsDisabled() {
        parts.settings.hedgingEnabled = false;
        PendingRequest request = startRequest(PolicyTestObjects.IDEMPOTENT);
        dispatcher.hedge(request, endpoints[0], NOW_US);
        assertEquals(1, request.attemptCount());
    }

    /** Tries to hedge a request; returns whether it was hedged. */
    private boolean tryToHedge(PendingRequest request) {
        dispatcher.hedge(request, endpoints[0], NOW_US);
        return request.attemptCount() == 2;
    }

    @Test
    void hedgedRequestsStayWithinTheirBudget() {
        endpoints[1].concurrency().setLimit(1_000);
        parts.activeEndpoints.update(List.of(endpoints), NOW_US);
        int hedged = 0;
        while (tryToHedge(startRequest(PolicyTestObjects.IDEMPOTENT))) {
            hedged++;
        }
        // The budget starts full at 20, and a hedged request takes 1 from it. Each first attempt adds 0.2, except the
        // one before the first hedged request, which finds the budget full.
        assertEquals(24, hedged);
    }

    @Test
    void attemptsOfAFinishedRequestAreCancelledBeforeItIsRemoved() {
        PendingRequest request = startRequest(PolicyTestObjects.IDEMPOTENT);
        dispatcher.finish(request);
        assertEquals(List.of(request.id() + "/0"), actions.cancelledAttempts);
        assertSame(request, dispatcher.find(request.id()));
        request.endAttempt(request.attempt(0), AttemptResult.CANCELLED);
        dispatcher.removeIfPossible(request);
        assertNull(dispatcher.find(request.id()));
    }

    @Test
    void attemptsAreNotCancelledWhereCancellationIsDisabled() {
        parts.settings.cancellationEnabled = false;
        dispatcher.finish(startRequest(PolicyTestObjects.IDEMPOTENT));
        assertEquals(List.of(), actions.cancelledAttempts);
    }
}

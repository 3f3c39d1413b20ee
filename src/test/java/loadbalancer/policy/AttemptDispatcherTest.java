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

/** Attempts, retries, hedged requests and final responses of {@link AttemptDispatcher}. */
class AttemptDispatcherTest {
    private static final long NOW_US = DecisionModuleParts.NOW_US;
    private static final long DEADLINE_US = NOW_US + 1_000_000;

    private final DecisionModuleParts parts = new DecisionModuleParts();
    private final Endpoint[] endpoints = parts.useEndpoints("a", "b");
    private final AttemptDispatcher dispatcher = parts.dispatcher;
    private final RecordingActions actions = parts.actions;
    private final RequestQueue queue =
            new RequestQueue(parts.settings, new LatencyStatistics(parts.settings.classes.size()), 5_000, dispatcher);

    /** A request with an attempt in flight at the first endpoint. */
    private PendingRequest started(int classIndex) {
        PendingRequest request = parts.request(classIndex);
        dispatcher.add(request);
        dispatcher.startAttempt(request, endpoints[0], NOW_US);
        return request;
    }

    private PendingRequest retried(int classIndex, AttemptResult result) {
        PendingRequest request = started(classIndex);
        request.endAttempt(request.attempt(0), result);
        dispatcher.retryOrFinish(request, endpoints[0], queue, NOW_US);
        return request;
    }

    private static String attempt(PendingRequest request, String endpointId) {
        return request.id() + " at " + endpointId + " until " + DEADLINE_US;
    }

    @Test
    void anAttemptEndsByTheDeadlineAndIsInFlight() {
        PendingRequest request = started(PolicyTestObjects.IDEMPOTENT);
        assertEquals(List.of(attempt(request, "a")), actions.startedAttempts);
        assertEquals(1, endpoints[0].concurrency().inFlight());
        assertEquals(NOW_US, endpoints[0].lastAttemptAtUs());
    }

    @Test
    void aFailedAttemptIsRetriedAtTheNextEndpoint() {
        PendingRequest request = retried(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertEquals(List.of(attempt(request, "a"), attempt(request, "b")), actions.startedAttempts);
    }

    @Test
    void aRetryWithoutEndpointIsQueued() {
        endpoints[1].concurrency().setLimit(0.5);
        endpoints[1].concurrency().increment();
        PendingRequest request = retried(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertTrue(request.isQueued());
        assertFalse(queue.isEmpty());
    }

    @Test
    void aRequestThatMustNotBeRetriedFails() {
        PendingRequest request = retried(PolicyTestObjects.NON_IDEMPOTENT, AttemptResult.ERROR);
        assertEquals(List.of(request.id()), actions.failed);
        assertEquals(List.of(), actions.rejected);
        assertNull(dispatcher.find(request.id()));
    }

    @Test
    void withoutALeaseARequestIsRejectedInsteadOfRetried() {
        parts.lease.onLeaseChanged(NOW_US, NOW_US);
        PendingRequest request = retried(PolicyTestObjects.IDEMPOTENT, AttemptResult.ERROR);
        assertEquals(List.of(request.id()), actions.rejected);
        assertEquals(1, actions.startedAttempts.size());
    }

    @Test
    void anUnresponsiveAttemptIsHedgedAtAnotherEndpoint() {
        PendingRequest request = started(PolicyTestObjects.IDEMPOTENT);
        dispatcher.hedge(request, endpoints[0], NOW_US);
        assertEquals(List.of(attempt(request, "a"), attempt(request, "b")), actions.startedAttempts);
    }

    @Test
    void aRequestIsNotHedgedTwice() {
        Endpoint[] three = parts.useEndpoints("a", "b", "c");
        PendingRequest request = parts.request(PolicyTestObjects.IDEMPOTENT);
        dispatcher.startAttempt(request, three[0], NOW_US);
        dispatcher.hedge(request, three[0], NOW_US);
        dispatcher.hedge(request, three[0], NOW_US);
        assertEquals(2, request.attemptCount());
    }

    @Test
    void nonIdempotentRequestsAreNotHedged() {
        PendingRequest request = started(PolicyTestObjects.NON_IDEMPOTENT);
        dispatcher.hedge(request, endpoints[0], NOW_US);
        assertEquals(1, request.attemptCount());
    }

    @Test
    void nothingIsHedgedWhereHedgingIsDisabled() {
        parts.settings.hedgingEnabled = false;
        PendingRequest request = started(PolicyTestObjects.IDEMPOTENT);
        dispatcher.hedge(request, endpoints[0], NOW_US);
        assertEquals(1, request.attemptCount());
    }

    private boolean isHedged(PendingRequest request) {
        dispatcher.hedge(request, endpoints[0], NOW_US);
        return request.attemptCount() == 2;
    }

    @Test
    void hedgedRequestsStayWithinTheirBudget() {
        endpoints[1].concurrency().setLimit(1_000);
        parts.activeEndpoints.update(List.of(endpoints), NOW_US);
        int hedged = 0;
        while (isHedged(started(PolicyTestObjects.IDEMPOTENT))) {
            hedged++;
        }
        // Twenty, and a fifth of one for each first attempt but that before the first of them.
        assertEquals(24, hedged);
    }

    @Test
    void attemptsInFlightOfAFinishedRequestAreCancelled() {
        PendingRequest request = started(PolicyTestObjects.IDEMPOTENT);
        dispatcher.finish(request);
        assertEquals(List.of(request.id() + "/0"), actions.cancelledAttempts);
        assertSame(request, dispatcher.find(request.id()));
        request.endAttempt(request.attempt(0), AttemptResult.CANCELLED);
        dispatcher.removeIfDone(request);
        assertNull(dispatcher.find(request.id()));
    }

    @Test
    void attemptsAreNotCancelledWhereThatIsDisabled() {
        parts.settings.cancellationEnabled = false;
        dispatcher.finish(started(PolicyTestObjects.IDEMPOTENT));
        assertEquals(List.of(), actions.cancelledAttempts);
    }
}

package loadbalancer.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/** Tests the order, the endpoint selection and the expiry of requests in {@link RequestQueue}. */
class RequestQueueTest implements RequestQueue.Dispatcher {
    private static final long NOW_US = 10_000_000;
    private static final long SWEEP_INTERVAL_US = 5_000;
    private static final int MAX_FAILED_KEYED_PICKS = 4;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());
    private final RequestQueue queue = new RequestQueue(settings, latencies, SWEEP_INTERVAL_US, this);
    private final Endpoint endpoint = PolicyTestObjects.endpoint(settings, "a");
    private final List<PendingRequest> selectionCalls = new ArrayList<>();
    private final List<PendingRequest> started = new ArrayList<>();
    private final List<PendingRequest> rejectedOrFailed = new ArrayList<>();
    private int capacity;
    private boolean mayRetry = true;

    @Override
    public boolean mayRetry(PendingRequest request, long nowUs) {
        return mayRetry;
    }

    @Override
    public Endpoint selectEndpoint(PendingRequest request, long nowUs) {
        selectionCalls.add(request);
        return capacity > 0 ? endpoint : null;
    }

    @Override
    public void startAttempt(PendingRequest request, Endpoint selected, long nowUs) {
        capacity--;
        started.add(request);
    }

    @Override
    public void rejectOrFail(PendingRequest request) {
        rejectedOrFailed.add(request);
    }

    private PendingRequest enqueue(int classIndex, String key, double priority) {
        PendingRequest request = PolicyTestObjects.request(settings, classIndex, key, NOW_US);
        request.setPriority(priority);
        queue.enqueue(request);
        return request;
    }

    private PendingRequest enqueue(double priority) {
        return enqueue(PolicyTestObjects.IDEMPOTENT, null, priority);
    }

    private void dispatch(long nowUs) {
        queue.dispatch(MAX_FAILED_KEYED_PICKS, nowUs);
    }

    @Test
    void requestsStartInOrderOfPriorityAndThenOfArrival() {
        PendingRequest first = enqueue(1);
        PendingRequest high = enqueue(2);
        PendingRequest second = enqueue(1);
        capacity = 3;
        dispatch(NOW_US);
        assertEquals(List.of(high, first, second), started);
        assertTrue(queue.isEmpty());
        assertFalse(first.isQueued());
    }

    @Test
    void aRequestWithoutAnEndpointWithCapacityStaysQueued() {
        PendingRequest first = enqueue(1);
        PendingRequest second = enqueue(1);
        capacity = 1;
        dispatch(NOW_US);
        assertEquals(List.of(first), started);
        assertTrue(second.isQueued());
        capacity = 1;
        dispatch(NOW_US);
        assertEquals(List.of(first, second), started);
    }

    @Test
    void theSearchStopsAtTheFirstRequestWithoutAnEndpoint() {
        PendingRequest first = enqueue(1);
        enqueue(1);
        enqueue(1);
        dispatch(NOW_US);
        assertEquals(List.of(first), selectionCalls);
    }

    @Test
    void aNonIdempotentRequestWithoutAnEndpointStopsTheSearchForNonIdempotentRequestsOnly() {
        PendingRequest nonIdempotent = enqueue(PolicyTestObjects.NON_IDEMPOTENT, null, 1);
        enqueue(PolicyTestObjects.NON_IDEMPOTENT, null, 1);
        PendingRequest idempotent = enqueue(1);
        dispatch(NOW_US);
        assertEquals(List.of(nonIdempotent, idempotent), selectionCalls);
    }

    @Test
    void aRequestOverQuotaWithoutAnEndpointStopsTheSearchForRequestsOverQuotaOnly() {
        PendingRequest overQuota = enqueue(3);
        overQuota.setOverQuota();
        enqueue(2).setOverQuota();
        PendingRequest withinQuota = enqueue(1);
        dispatch(NOW_US);
        assertEquals(List.of(overQuota, withinQuota), selectionCalls);
    }

    @Test
    void theSearchStopsAfterTheMaximumOfFailedPicksByKey() {
        settings.endpointsCacheKeys = true;
        for (int i = 0; i < 10; i++) {
            enqueue(PolicyTestObjects.IDEMPOTENT, "key-" + i, 1);
        }
        dispatch(NOW_US);
        assertEquals(MAX_FAILED_KEYED_PICKS, selectionCalls.size());
    }

    @Test
    void aLateRequestIsRejectedIfLateResponsesHaveNoWeight() {
        PendingRequest request = enqueue(1);
        dispatch(NOW_US + 200_000);
        assertEquals(List.of(), rejectedOrFailed);
        dispatch(NOW_US + 200_001);
        assertEquals(List.of(request), rejectedOrFailed);
        assertTrue(queue.isEmpty());
    }

    @Test
    void aRequestIsLateOnceLessThanTwiceTheMeanLatencyIsLeft() {
        latencies.record(0, 30_000);
        enqueue(1);
        dispatch(NOW_US + 140_000);
        assertEquals(0, rejectedOrFailed.size());
        dispatch(NOW_US + 140_001);
        assertEquals(1, rejectedOrFailed.size());
    }

    @Test
    void aRequestMayWaitForAFifthOfItsObjectiveHoweverHighTheMeanLatencyIs() {
        latencies.record(0, 5_000_000);
        enqueue(1);
        dispatch(NOW_US + 40_000);
        assertEquals(0, rejectedOrFailed.size());
        dispatch(NOW_US + 40_001);
        assertEquals(1, rejectedOrFailed.size());
    }

    @Test
    void aLateRequestIsMovedBehindThoseOfHigherPriority() {
        PolicyTestObjects.setLatePriorityFactor(settings, PolicyTestObjects.IDEMPOTENT, 0.25);
        PolicyTestObjects.setLatePriorityFactor(settings, PolicyTestObjects.NON_IDEMPOTENT, 1);
        PendingRequest late = enqueue(2);
        PendingRequest other = enqueue(PolicyTestObjects.NON_IDEMPOTENT, null, 1);
        dispatch(NOW_US + 200_001);
        assertEquals(0.5, late.priority());
        capacity = 2;
        dispatch(NOW_US + 200_002);
        assertEquals(List.of(other, late), started);
    }

    @Test
    void aRequestExpiresEarlyEnoughToRespondBeforeTheDeadline() {
        PolicyTestObjects.setLatePriorityFactor(settings, PolicyTestObjects.IDEMPOTENT, 0.5);
        PendingRequest request = enqueue(1);
        // The margin is an eighth of the request's one second, which is less than the maximum suspension.
        dispatch(request.deadlineAtUs() - 125_001);
        assertEquals(List.of(), rejectedOrFailed);
        dispatch(request.deadlineAtUs() - 125_000);
        assertEquals(List.of(request), rejectedOrFailed);
    }

    @Test
    void aRequestIsRejectedIfNoRetryIsPermitted() {
        PendingRequest request = enqueue(1);
        mayRetry = false;
        dispatch(NOW_US);
        assertEquals(List.of(request), rejectedOrFailed);
    }

    @Test
    void aFinishedRequestIsRemoved() {
        enqueue(1).finish();
        capacity = 1;
        dispatch(NOW_US);
        assertEquals(List.of(), started);
        assertEquals(List.of(), rejectedOrFailed);
        assertTrue(queue.isEmpty());
    }
}

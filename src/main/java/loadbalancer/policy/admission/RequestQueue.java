package loadbalancer.policy.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/**
 * The queue of requests that wait for an endpoint with capacity, ordered by descending priority and, for equal
 * priorities, by the time at which they were added. A request that cannot meet its latency objective any more gets a
 * lower priority. If the priority factor of its class for late requests is 0, it is rejected or failed instead.
 */
public final class RequestQueue {
    /**
     * A request is late if the time left to its latency objective is below this multiple of its class's mean latency.
     */
    private static final double LATE_BELOW_MEAN_MULTIPLE = 2;

    /** Upper bound of that time as a share of the objective, so that requests may wait however high the mean is. */
    private static final double MAX_LATE_OBJECTIVE_SHARE = 0.8;

    /**
     * Maximum share of the time from a request's arrival to its deadline that is reserved for sending the final
     * response in time.
     */
    private static final double MAX_EXPIRY_MARGIN_SHARE = 0.125;

    private static final Comparator<PendingRequest> HIGHEST_PRIORITY_FIRST =
            Comparator.comparingDouble(request -> -request.priority());

    private final LoadBalancerSettings settings;
    private final LatencyStatistics latencies;
    private final long sweepIntervalUs;
    private final Dispatcher dispatcher;
    private final ArrayList<PendingRequest> queue = new ArrayList<>();

    /** Selects endpoints for queued requests, starts their attempts, and responds to expired requests. */
    public interface Dispatcher {
        /** Returns whether another attempt of a request is permitted at some endpoint. */
        boolean mayRetry(PendingRequest request, long nowUs);

        /** Selects an endpoint for the next attempt of a request without attempts in flight; null if there is none. */
        Endpoint selectEndpoint(PendingRequest request, long nowUs);

        /** Starts an attempt of a request that has left the queue. */
        void startAttempt(PendingRequest request, Endpoint endpoint, long nowUs);

        /** Gives a request its final response: a rejection if the client may safely retry, otherwise a failure. */
        void rejectOrFail(PendingRequest request);
    }

    /** What one pass over the queue has found out about the capacity of endpoints. */
    private static final class DispatchPass {
        private int remainingKeyedPicks;
        private boolean noCapacity;
        private boolean noCapacityForNonIdempotent;
        private boolean noCapacityOverQuota;

        DispatchPass(int maxFailedKeyedPicks) {
            remainingKeyedPicks = maxFailedKeyedPicks;
        }
    }

    /**
     * Creates an empty queue.
     *
     * @param sweepIntervalUs the maximum time between two calls of {@link #dispatch} while requests are queued
     */
    public RequestQueue(
            LoadBalancerSettings settings, LatencyStatistics latencies, long sweepIntervalUs, Dispatcher dispatcher) {
        this.settings = settings;
        this.latencies = latencies;
        this.sweepIntervalUs = sweepIntervalUs;
        this.dispatcher = dispatcher;
    }

    /** Returns whether the queue has no entries; entries of finished requests count until the next dispatch. */
    public boolean isEmpty() {
        return queue.isEmpty();
    }

    /** Adds a request behind all others of the same or a higher priority. */
    public void enqueue(PendingRequest request) {
        request.enqueue();
        int index = queue.size();
        while (index > 0 && HIGHEST_PRIORITY_FIRST.compare(queue.get(index - 1), request) > 0) {
            index--;
        }
        queue.add(index, request);
    }

    /**
     * Starts attempts of queued requests while endpoints have capacity, and gives expired requests their final
     * response.
     *
     * @param maxFailedKeyedPicks the maximum number of requests with key affinity for which endpoint selection may fail
     *     before this pass stops selecting endpoints
     */
    public void dispatch(int maxFailedKeyedPicks, long nowUs) {
        if (queue.isEmpty()) {
            return;
        }
        DispatchPass pass = new DispatchPass(maxFailedKeyedPicks);
        int keptCount = 0;
        boolean needsSort = false;
        for (int i = 0; i < queue.size(); i++) {
            PendingRequest request = queue.get(i);
            if (!request.isQueued()) {
                continue;
            }
            boolean isLate = isLate(request, nowUs);
            if (isExpired(request, isLate, nowUs)) {
                request.dequeue();
                dispatcher.rejectOrFail(request);
            } else if (isLate && !request.isLate()) {
                request.setLate();
                needsSort = true;
                queue.set(keptCount, request);
                keptCount++;
            } else if (!startIfPossible(request, pass, nowUs)) {
                queue.set(keptCount, request);
                keptCount++;
            }
        }
        truncate(queue, keptCount);
        if (needsSort) {
            queue.sort(HIGHEST_PRIORITY_FIRST);
        }
    }

    private static void truncate(List<PendingRequest> list, int size) {
        list.subList(size, list.size()).clear();
    }

    private boolean isLate(PendingRequest request, long nowUs) {
        double lateBelowUs = Math.min(
                MAX_LATE_OBJECTIVE_SHARE * request.latencyObjectiveUs(),
                LATE_BELOW_MEAN_MULTIPLE * latencies.meanUs(request.classIndex()));
        return request.latencyObjectiveAtUs() - nowUs < lateBelowUs;
    }

    private boolean isExpired(PendingRequest request, boolean isLate, long nowUs) {
        return request.deadlineAtUs() - nowUs <= expiryMarginUs(request)
                || (isLate && request.requestClass().latePriorityFactor() == 0)
                || !dispatcher.mayRetry(request, nowUs);
    }

    /**
     * Returns how long before its deadline a queued request expires. An attempt with less than half of the mean latency
     * left hardly ever gets a response, and the process may be suspended before it sends the final response.
     */
    private long expiryMarginUs(PendingRequest request) {
        int classIndex = request.classIndex();
        long meanUs = latencies.isMeanReliable(classIndex) ? (long) latencies.meanUs(classIndex) : 0;
        long maxMarginUs = (long) (MAX_EXPIRY_MARGIN_SHARE * (request.deadlineAtUs() - request.arrivedAtUs()));
        return Math.max(
                sweepIntervalUs + settings.eventIntervalUs,
                Math.min(maxMarginUs, Math.max(LoadBalancerSettings.MAX_SUSPENSION_US, meanUs / 2)));
    }

    private boolean startIfPossible(PendingRequest request, DispatchPass pass, long nowUs) {
        boolean isNonIdempotent = request.requestClass().idempotency() == Idempotency.NON_IDEMPOTENT;
        boolean isKnownWithoutCapacity = pass.noCapacity
                || (isNonIdempotent && pass.noCapacityForNonIdempotent)
                || (request.isOverQuota() && pass.noCapacityOverQuota);
        Endpoint endpoint = isKnownWithoutCapacity ? null : dispatcher.selectEndpoint(request, nowUs);
        if (endpoint != null) {
            request.dequeue();
            dispatcher.startAttempt(request, endpoint, nowUs);
            return true;
        }
        recordNoCapacity(request, isNonIdempotent, pass);
        return false;
    }

    /**
     * Records that no endpoint was selected for a request.
     *
     * <p>A request without earlier attempts may be sent to any endpoint. If none has capacity for such a request, none
     * has capacity for the following ones. There are three exceptions: a request over its tenant's quota may use only
     * part of the limits, a non-idempotent request is rarely used for probation of ejected endpoints, and a request
     * with key affinity may be sent to few endpoints, so that several such requests must fail before the search stops.
     */
    private static void recordNoCapacity(PendingRequest request, boolean isNonIdempotent, DispatchPass pass) {
        pass.noCapacityOverQuota |= request.isOverQuota();
        boolean appliesToOthers = !request.isOverQuota() && request.attemptCount() == 0 && endsSearch(request, pass);
        pass.noCapacityForNonIdempotent |= appliesToOthers;
        pass.noCapacity |= appliesToOthers && (!isNonIdempotent || request.hasKeyAffinity());
    }

    /** Counts a failed selection for a request with key affinity, and returns whether the search stops. */
    private static boolean endsSearch(PendingRequest request, DispatchPass pass) {
        if (!request.hasKeyAffinity()) {
            return true;
        }
        pass.remainingKeyedPicks--;
        return pass.remainingKeyedPicks <= 0;
    }
}

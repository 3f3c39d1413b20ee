package loadbalancer.policy.admission;

import java.util.List;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointConcurrency;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;
import loadbalancer.policy.statistics.TimelyResponseRate;

/**
 * Adaptive concurrency limits. An endpoint's limit grows after a quick response if the limit was reached while the
 * attempt was in flight. It is cut after slow responses, after rejections, and after timeouts if the endpoint is
 * overloaded. An attempt is started only if the requests in flight are below the limit of its endpoint and below the
 * sum of all limits; the sum guards against a stall of all endpoints. A limit below one is the share of the time in
 * which one request may be in flight; it is enforced by a pause after each request.
 */
public final class ConcurrencyLimiter {
    /** Initial limit of an endpoint, summed over all instances that share it. */
    private static final double INITIAL_LIMIT = 4;

    /**
     * Initial limit where endpoints cache keys. It is above the number of requests that an endpoint serves in time, so
     * that the first cut sets the limit to what the endpoint can serve.
     */
    private static final double INITIAL_LIMIT_WITH_KEY_CACHES = 24;

    /** Amount by which a quick response raises the limit of an endpoint that only one instance uses. */
    private static final double GROWTH_STEP = 0.15;

    /** Share by which a slow response cuts the limit of an endpoint that only one instance uses. */
    private static final double SLOW_CUT = 0.1;

    /** Share by which a rejected attempt or one without a response cuts a limit. */
    private static final double OVERLOAD_CUT = 0.3;

    /**
     * Exponent of the number of instances that share an endpoint. This power of their number is the factor by which
     * the growth step is divided and the cut after a slow response is repeated.
     */
    private static final double SHARING_EXPONENT = 0.25;

    /**
     * Minimum factor of the growth step, which applies if about half of the responses or more miss their latency
     * objective. Limits must still grow a little so that they can recover.
     */
    private static final double MIN_GROWTH_FACTOR = 0.1;

    /** Maximum pause between two requests to an endpoint whose limit is below one. */
    private static final long MAX_PAUSE_US = 2_000_000;

    /**
     * Maximum number of requests that an instance may send before a pause has ended if many instances share the
     * endpoint. This allows for bursts of arrivals.
     */
    private static final double MAX_BURST = 2;

    /** Share of each limit that requests over their tenant's quota may use. */
    private static final double OVER_QUOTA_LIMIT_SHARE = 0.5;

    /** Upper bound of the ratio of a latency to the slowness threshold. */
    private static final double MAX_SLOWNESS = 2;

    private final LoadBalancerSettings settings;
    private final EndpointSharing sharing;
    private final RequestPriorities priorities;
    private final TimelyResponseRate timelyResponses;
    private final SlowStart slowStart;
    private final SlownessThreshold slownessThreshold;
    private double growthStep;
    private double slowCut;
    private int activeEndpoints;
    private int inFlight;
    private double sumOfLimits;

    /** Creates a limiter for an instance that uses no endpoints yet. */
    public ConcurrencyLimiter(
            LoadBalancerSettings settings,
            EndpointSharing sharing,
            RequestPriorities priorities,
            LatencyStatistics latencies,
            TimelyResponseRate timelyResponses,
            SlowStart slowStart) {
        this.settings = settings;
        this.sharing = sharing;
        this.priorities = priorities;
        this.timelyResponses = timelyResponses;
        this.slowStart = slowStart;
        slownessThreshold = new SlownessThreshold(settings, sharing, latencies);
        onSharingChanged();
    }

    /**
     * Adapts the growth step and the cut after slow responses to the number of instances that share an endpoint. The
     * step is divided by the same factor by which the cut is repeated, so that growth and cuts over all instances stay
     * in balance.
     */
    public void onSharingChanged() {
        double sharingFactor = Math.pow(sharing.instancesPerEndpoint(), SHARING_EXPONENT);
        growthStep = GROWTH_STEP / sharingFactor;
        slowCut = 1 - Math.pow(1 - SLOW_CUT, sharingFactor);
    }

    /**
     * Sets the limits of active endpoints that have none: to the initial limit, or to the mean limit of the listed
     * endpoints if that is lower.
     */
    public void initializeLimits(List<Endpoint> listed, Endpoint[] active) {
        double average = listed.stream()
                .mapToDouble(endpoint -> endpoint.concurrency().limit())
                .filter(limit -> limit > 0)
                .average()
                .orElse(Double.MAX_VALUE);
        double initialLimit = Math.min(initialLimit(), average);
        for (Endpoint endpoint : active) {
            if (endpoint.concurrency().limit() == 0) {
                endpoint.concurrency().setLimit(initialLimit);
            }
        }
    }

    private double initialLimit() {
        return (settings.endpointsCacheKeys ? INITIAL_LIMIT_WITH_KEY_CACHES : INITIAL_LIMIT)
                / sharing.instancesPerEndpoint();
    }

    /**
     * Recomputes the sum of the limits and the requests in flight over the available endpoints. Requests at ejected or
     * removed endpoints do not count, since they must not use up the capacity of the others.
     */
    public void recomputeTotals(Endpoint[] active) {
        activeEndpoints = active.length;
        sumOfLimits = 0;
        inFlight = 0;
        for (Endpoint endpoint : active) {
            if (endpoint.isAvailable()) {
                sumOfLimits += endpoint.concurrency().limit();
                inFlight += endpoint.concurrency().inFlight();
            }
        }
    }

    /** Adds an attempt to the requests in flight at its endpoint. */
    public void onAttemptStarted(Endpoint endpoint) {
        endpoint.concurrency().incrementInFlight();
        if (endpoint.isAvailable()) {
            inFlight++;
        }
    }

    /** Removes an attempt from the requests in flight at its endpoint; has no effect if that was done before. */
    public void release(Attempt attempt) {
        if (!attempt.isReleased()) {
            attempt.setReleased();
            attempt.endpoint().concurrency().decrementInFlight();
            if (attempt.endpoint().isAvailable()) {
                inFlight--;
            }
        }
    }

    /**
     * Returns whether an endpoint has capacity for a request. If it has none and the request is within its tenant's
     * quota, the endpoint's limit is marked as reached.
     */
    public boolean hasCapacity(PendingRequest request, Endpoint endpoint, long nowUs) {
        EndpointConcurrency concurrency = endpoint.concurrency();
        double limitShare = request.isOverQuota() ? OVER_QUOTA_LIMIT_SHARE : 1;
        double burstAllowance = sharing.isWidelyShared() ? burstAllowance(request) : 0;
        double maxBurst = sharing.isWidelyShared() ? MAX_BURST * priorities.relativePriority(request) : 0;
        boolean isAtLimit = concurrency.inFlight() + 1 > limitShare * concurrency.limit()
                && (concurrency.inFlight() > burstAllowance * maxBurst
                        || nowUs < concurrency.pausedUntilUs() - burstAllowance * maxBurst * concurrency.pauseUs());
        boolean isAtSumOfLimits = inFlight > burstAllowance * (1 + maxBurst) && inFlight + 1 > limitShare * sumOfLimits;
        if (!isAtLimit && !isAtSumOfLimits) {
            return true;
        }
        if (!request.isOverQuota()) {
            concurrency.setLimitReachedAtUs(nowUs);
        }
        return false;
    }

    /**
     * Returns how far bursts may exceed the limits, from 0 to 1. The value falls with the share of timely responses,
     * because bursts sustain an overload.
     */
    private double burstAllowance(PendingRequest request) {
        double timelyShare = timelyResponses.share();
        return Math.max(0, request.isOverQuota() ? 4 * timelyShare - 3 : 2 * timelyShare - 1);
    }

    /**
     * Adapts the limit of an endpoint after an attempt has ended. The caller records the outcome in the statistics of
     * latencies and timely responses before.
     */
    public void onOutcome(PendingRequest request, Attempt attempt, ObservedOutcome outcome, long nowUs) {
        EndpointConcurrency concurrency = attempt.endpoint().concurrency();
        double limitBefore = concurrency.limit();
        double slowAboveUs = slownessThreshold.slowAboveUs(request);
        boolean timedOut = outcome.result() == AttemptResult.TIMEOUT;
        boolean noLaterAttemptHasResponse = concurrency.newestRespondedAttemptStartedAtUs() <= attempt.startedAtUs();
        if (outcome.result() == AttemptResult.OK || (timedOut && noLaterAttemptHasResponse)) {
            double slowness = Math.min(MAX_SLOWNESS, outcome.latencyUs() / Math.max(1, slowAboveUs));
            concurrency.recordSlowness(slowness, TimelyResponseRate.GAIN);
        }
        adaptLimit(request, attempt, outcome, slowAboveUs, nowUs);
        if (concurrency.limit() < 1) {
            long pauseUs = Math.min(MAX_PAUSE_US, (long) (outcome.latencyUs() / concurrency.limit()));
            concurrency.pause(attempt.startedAtUs(), pauseUs);
        }
        if (attempt.endpoint().isAvailable()) {
            sumOfLimits += concurrency.limit() - limitBefore;
        }
    }

    private void adaptLimit(
            PendingRequest request, Attempt attempt, ObservedOutcome outcome, double slowAboveUs, long nowUs) {
        if (outcome.result() == AttemptResult.OK || outcome.isAbandonedAsSlow()) {
            double priority = sharing.isWidelyShared() ? priorities.relativePriority(request) : 1;
            if (outcome.latencyUs() > slowAboveUs) {
                cutLimit(attempt, slowCut * priority, nowUs);
            } else if (!outcome.isAbandonedAsSlow()) {
                growLimit(attempt, priority, nowUs);
            }
        } else if (outcome.result() == AttemptResult.REJECTED) {
            // Where endpoints cache keys, a limit below the requests in flight would move keys to other endpoints.
            cutLimit(attempt, settings.endpointsCacheKeys ? 0 : OVERLOAD_CUT, nowUs);
        } else if (outcome.result() == AttemptResult.TIMEOUT
                && attempt.endpoint().concurrency().slowness() >= 1) {
            cutLimit(attempt, OVERLOAD_CUT, nowUs);
        }
    }

    /**
     * Raises a limit that was reached since the attempt began. The limit of a warming endpoint is not raised above
     * the mean of all limits: the endpoint responds quickly because slow start sends it few requests, and with a higher
     * limit all instances together would overload it when slow start ends.
     */
    private void growLimit(Attempt attempt, double priority, long nowUs) {
        EndpointConcurrency concurrency = attempt.endpoint().concurrency();
        boolean mayGrow = concurrency.limitReachedAtUs() >= attempt.startedAtUs()
                && (!slowStart.isWarmingUp(attempt.endpoint(), nowUs)
                        || concurrency.limit() * activeEndpoints < sumOfLimits);
        if (mayGrow) {
            // While many responses are late, a single timely one says little, and full growth would sustain overload.
            double growthFactor =
                    settings.endpointsCacheKeys ? 1 : Math.max(MIN_GROWTH_FACTOR, 2 * timelyResponses.share() - 1);
            concurrency.setLimit(concurrency.limit() + growthStep * priority * growthFactor);
        }
    }

    /** Cuts a limit unless the attempt began before the last cut, so that concurrent attempts cut it only once. */
    private void cutLimit(Attempt attempt, double cut, long nowUs) {
        EndpointConcurrency concurrency = attempt.endpoint().concurrency();
        if (attempt.startedAtUs() >= concurrency.limitCutAtUs()) {
            // The part of a limit above the requests in flight says nothing about the endpoint's capacity.
            double reachedLimit = settings.endpointsCacheKeys
                    ? Math.min(concurrency.limit(), concurrency.inFlight() + 1)
                    : concurrency.limit();
            concurrency.cutLimit(Math.max(1.0 / sharing.instancesPerEndpoint(), reachedLimit * (1 - cut)), nowUs);
        }
    }
}

package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

import loadbalancer.policy.admission.ConcurrencyLimiter;
import loadbalancer.policy.admission.LoadShedder;
import loadbalancer.policy.admission.ObservedOutcome;
import loadbalancer.policy.admission.RequestPriorities;
import loadbalancer.policy.admission.RequestQueue;
import loadbalancer.policy.discovery.EndpointListPoller;
import loadbalancer.policy.discovery.LeaseStatus;
import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.health.UnresponsiveAttemptDetector;
import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.retry.RetryRules;
import loadbalancer.policy.selection.EndpointPicker;
import loadbalancer.policy.selection.EndpointSubset;
import loadbalancer.policy.statistics.LatencyStatistics;
import loadbalancer.policy.statistics.ServiceRate;
import loadbalancer.policy.statistics.TimelyResponseRate;

/**
 * The decision module, which handles each event by calls to its parts in a fixed order.
 *
 * <p>Normally the ServiceQ mechanism applies. A failed attempt adds one to its endpoint's error count, and a success
 * clears the count ({@link OutlierDetector}). For a first attempt, two endpoints are picked by weights that fall as the
 * error count rises, and the one with fewer of this instance's requests in flight is selected ({@link EndpointPicker}).
 * After a failure, a request that may be retried goes to the next endpoint in list order ({@link RetryRules},
 * {@link AttemptDispatcher}). If no endpoint has capacity ({@link ConcurrencyLimiter}, {@link SlowStart}), the request
 * is queued ({@link RequestQueue}).
 */
public final class ServiceQLoadBalancer implements LoadBalancer {
    /** Minimum interval between queue sweeps: long against the cost of a sweep, short against any latency objective. */
    private static final long MIN_SWEEP_INTERVAL_US = 5_000;

    /** Maximum number of failed selections of an endpoint for queued requests with a key, at events except timers. */
    private static final int MAX_FAILED_KEYED_PICKS_PER_EVENT = 4;

    /** Maximum number of failed selections of an endpoint for queued requests with a key, at a timer. */
    private static final int MAX_FAILED_KEYED_PICKS_PER_TIMER = 64;

    private final LoadBalancerSettings settings;
    private final long sweepIntervalUs;
    private final LatencyStatistics latencies;
    private final ServiceRate serviceRate = new ServiceRate();
    private final TimelyResponseRate timelyResponses = new TimelyResponseRate();
    private final RequestPriorities priorities;
    private final LoadShedder loadShedder;
    private final ConcurrencyLimiter limiter;
    private final OutlierDetector outlierDetector;
    private final EndpointRegistry registry;
    private final ActiveEndpoints activeEndpoints;
    private final EndpointSelector selector;
    private final UnresponsiveAttemptDetector unresponsiveAttempts;
    private final LeaseStatus lease;
    private final AttemptDispatcher dispatcher;
    private final RequestQueue queue;
    private final EndpointListPoller poller;
    private final TimerSchedule timer;

    /**
     * Creates an instance that knows no endpoints and has no statistics yet.
     *
     * @throws IllegalArgumentException if the settings are out of range
     */
    public ServiceQLoadBalancer(LoadBalancerSettings settings, long seed, LoadBalancerActions actions) {
        settings.validate();
        this.settings = settings;
        sweepIntervalUs = Math.max(MIN_SWEEP_INTERVAL_US, 2 * settings.eventIntervalUs);
        SplittableRandom random = new SplittableRandom(seed);
        DecisionLog log = new DecisionLog(actions);
        EndpointSharing sharing = new EndpointSharing(settings.instances);
        latencies = new LatencyStatistics(settings.classes.size());
        priorities = new RequestPriorities(settings, latencies);
        loadShedder = new LoadShedder(sharing, priorities, timelyResponses, random);
        SlowStart slowStart = new SlowStart(settings, serviceRate, random);
        limiter = new ConcurrencyLimiter(settings, sharing, priorities, latencies, timelyResponses, slowStart);
        RetryRules retryRules = new RetryRules(settings);
        EndpointSelector.Filter filter = new EndpointSelector.Filter(limiter, slowStart, retryRules);
        EndpointPicker picker = new EndpointPicker(settings, random, filter);
        EndpointSubset subset = new EndpointSubset(settings, sharing);
        activeEndpoints = new ActiveEndpoints(subset, limiter, slowStart, picker, actions);
        outlierDetector = new OutlierDetector(settings, sharing, random, log, activeEndpoints);
        activeEndpoints.setOutlierDetector(outlierDetector);
        registry = new EndpointRegistry(settings, outlierDetector);
        selector = new EndpointSelector(outlierDetector, picker, filter);
        unresponsiveAttempts = new UnresponsiveAttemptDetector(settings, latencies);
        lease = new LeaseStatus(log);
        dispatcher = new AttemptDispatcher(
                settings, actions, lease, retryRules, selector, limiter, serviceRate, unresponsiveAttempts);
        queue = new RequestQueue(settings, latencies, sweepIntervalUs, dispatcher);
        poller = new EndpointListPoller(settings, random, actions);
        timer = new TimerSchedule(actions);
    }

    @Override
    public void onEndpointList(long nowUs, EndpointListKind kind, List<EndpointListEntry> entries) {
        registry.update(kind, entries, nowUs);
        activeEndpoints.update(registry.listed(), nowUs);
        registry.forgetRemoved();
        poller.onEndpointList(kind, nowUs);
        queue.dispatch(MAX_FAILED_KEYED_PICKS_PER_EVENT, nowUs);
        scheduleTimer(nowUs);
    }

    @Override
    public void onEndpointListFailed(long nowUs) {
        if (settings.endpointListPolled) {
            poller.onPollFailed(nowUs);
            scheduleTimer(nowUs);
        }
    }

    @Override
    public void onLeaseChanged(long nowUs, long expiresAtUs) {
        lease.onLeaseChanged(expiresAtUs, nowUs);
        queue.dispatch(MAX_FAILED_KEYED_PICKS_PER_EVENT, nowUs);
        scheduleTimer(nowUs);
    }

    @Override
    public void onRequest(long nowUs, Request arrived) {
        requireValid(arrived);
        PendingRequest request = new PendingRequest(arrived, settings, nowUs);
        dispatcher.add(request);
        priorities.assign(request, nowUs);
        if (isAdmitted(request, nowUs)) {
            startOrEnqueue(request, nowUs);
        } else {
            dispatcher.rejectOrFail(request);
        }
        scheduleTimer(nowUs);
    }

    private void requireValid(Request request) {
        if (request.classIndex() < 0
                || request.classIndex() >= settings.classes.size()
                || request.tenant() >= settings.tenants.size()
                || dispatcher.find(request.id()) != null) {
            throw new IllegalArgumentException("unknown class or tenant, or an id that is already pending: " + request);
        }
    }

    private boolean isAdmitted(PendingRequest request, long nowUs) {
        if (!lease.isValid(nowUs)) {
            lease.onRequestRejected();
            return false;
        }
        return loadShedder.admits(request);
    }

    private void startOrEnqueue(PendingRequest request, long nowUs) {
        // A new request waits behind those in the queue. One with a key need not: the queued requests may wait for
        // other endpoints than those of its key.
        boolean mayStart = nowUs < request.deadlineAtUs() && (queue.isEmpty() || request.hasKeyAffinity());
        Endpoint endpoint = mayStart ? selector.selectEndpoint(request, nowUs) : null;
        if (endpoint != null) {
            dispatcher.startAttempt(request, endpoint, nowUs);
        } else {
            queue.enqueue(request);
            queue.dispatch(MAX_FAILED_KEYED_PICKS_PER_EVENT, nowUs);
        }
    }

    @Override
    public void onAttemptOutcome(long nowUs, AttemptOutcome outcome) {
        PendingRequest request = dispatcher.find(outcome.requestId());
        Attempt attempt = request == null ? null : request.attempt(outcome.attemptNumber());
        if (attempt == null || !attempt.isInFlight()) {
            return;
        }
        request.endAttempt(attempt, outcome.result());
        limiter.release(attempt);
        activeEndpoints.closeIfUnused(attempt.endpoint());
        recordOutcome(request, attempt, outcome, nowUs);
        if (outcome.requestEnded()) {
            dispatcher.finish(request);
        } else if (!request.isFinished() && request.inFlight() == 0) {
            dispatcher.retryOrFinish(request, attempt.endpoint(), queue, nowUs);
        }
        dispatcher.removeIfPossible(request);
        queue.dispatch(MAX_FAILED_KEYED_PICKS_PER_EVENT, nowUs);
        scheduleTimer(nowUs);
    }

    @Override
    public boolean isSendPermitted(long nowUs, long requestId, int attemptNumber) {
        return dispatcher.isSendPermitted(requestId, attemptNumber, nowUs);
    }

    private void recordOutcome(PendingRequest request, Attempt attempt, AttemptOutcome outcome, long nowUs) {
        updateHealth(request, attempt, outcome, nowUs);
        limiter.onOutcome(request, attempt, updateStatistics(request, outcome, nowUs), nowUs);
        if (outcome.result() == AttemptResult.OK || outcome.result() == AttemptResult.ERROR) {
            attempt.endpoint().healthOf(request.classIndex()).recordResponse(nowUs);
            attempt.endpoint().concurrency().recordRespondedAttempt(attempt.startedAtUs());
        }
    }

    private void updateHealth(PendingRequest request, Attempt attempt, AttemptOutcome outcome, long nowUs) {
        Endpoint endpoint = attempt.endpoint();
        int classIndex = request.classIndex();
        switch (outcome.result()) {
            case OK -> {
                boolean isSlow = latencies.isSlowerThanMost(classIndex, outcome.latencyUs());
                outlierDetector.onSuccess(endpoint, classIndex, isSlow, nowUs);
            }
            case CANCELLED, NOT_SENT -> {
                // Such an attempt says nothing about the health of the endpoint.
            }
            default -> {
                if (!attempt.isCountedAsFailure()) {
                    outlierDetector.onFailure(
                            endpoint, classIndex, !attempt.indicatesOverload(classIndex, outcome.result()), nowUs);
                }
            }
        }
    }

    /** Updates the statistics with an outcome, and determines whether the client has abandoned a slow attempt. */
    private ObservedOutcome updateStatistics(PendingRequest request, AttemptOutcome outcome, long nowUs) {
        AttemptResult result = outcome.result();
        int classIndex = request.classIndex();
        boolean abandonedAsSlow = result == AttemptResult.CANCELLED
                && request.isClientDisconnected()
                && latencies.isSlowerThanMost(classIndex, outcome.latencyUs());
        boolean served = result == AttemptResult.OK;
        if (served || result == AttemptResult.TIMEOUT || result == AttemptResult.REJECTED || abandonedAsSlow) {
            timelyResponses.record(served && nowUs <= request.latencyObjectiveAtUs());
        }
        if (served) {
            latencies.record(classIndex, outcome.latencyUs());
            serviceRate.onSuccess(nowUs);
        }
        return new ObservedOutcome(result, outcome.latencyUs(), abandonedAsSlow);
    }

    @Override
    public void onFirstByte(long nowUs, long requestId, int attemptNumber) {
        PendingRequest request = dispatcher.find(requestId);
        if (request != null) {
            request.setStreaming();
        }
    }

    @Override
    public void onClientDisconnected(long nowUs, long requestId) {
        PendingRequest request = dispatcher.find(requestId);
        if (request != null) {
            request.setClientDisconnected();
            dispatcher.finish(request);
        }
    }

    @Override
    public void onTimer(long nowUs) {
        boolean wasSuspended = timer.onFired(nowUs);
        poller.onTimer(nowUs);
        if (!wasSuspended) {
            // Responses that arrived during a suspension of this process may still be unread.
            unresponsiveAttempts.detect(this::onUnresponsiveAttempt, nowUs);
        }
        queue.dispatch(MAX_FAILED_KEYED_PICKS_PER_TIMER, nowUs);
        scheduleTimer(nowUs);
    }

    private void onUnresponsiveAttempt(PendingRequest request, Attempt attempt, long nowUs) {
        Endpoint endpoint = attempt.endpoint();
        if (endpoint.healthOf(request.classIndex()).lastResponseAtUs() < attempt.startedAtUs()) {
            attempt.setCountedAsFailure();
            outlierDetector.onFailure(endpoint, request.classIndex(), true, nowUs);
        }
        if (endpoint.concurrency().slowness() < 1
                && endpoint.concurrency().newestRespondedAttemptStartedAtUs() > attempt.startedAtUs()) {
            // The endpoint answers later attempts quickly, so it has lost this one, which must no longer take up
            // capacity that other requests could use.
            limiter.release(attempt);
        }
        dispatcher.hedge(request, endpoint, nowUs);
    }

    private void scheduleTimer(long nowUs) {
        long nextSweepUs = nowUs + sweepIntervalUs;
        long nextCheckUs = Math.min(poller.nextPollUs(), unresponsiveAttempts.nextCheckUs(nextSweepUs));
        timer.schedule(queue.isEmpty() ? nextCheckUs : Math.min(nextCheckUs, nextSweepUs), nowUs);
    }
}

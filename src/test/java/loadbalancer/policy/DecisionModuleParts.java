package loadbalancer.policy;

import java.util.List;
import java.util.SplittableRandom;

import loadbalancer.policy.admission.ConcurrencyLimiter;
import loadbalancer.policy.admission.RequestPriorities;
import loadbalancer.policy.discovery.LeaseStatus;
import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.health.UnresponsiveAttemptDetector;
import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.retry.RetryRules;
import loadbalancer.policy.selection.EndpointPicker;
import loadbalancer.policy.selection.EndpointSubset;
import loadbalancer.policy.statistics.LatencyStatistics;
import loadbalancer.policy.statistics.ServiceRate;
import loadbalancer.policy.statistics.TimelyResponseRate;

/** The classes under test with the other parts of a decision module, connected as in {@link ServiceQLoadBalancer}. */
final class DecisionModuleParts {
    static final long NOW_US = 10_000_000;

    final LoadBalancerSettings settings = PolicyTestObjects.settings();
    final RecordingActions actions = new RecordingActions();
    final LeaseStatus lease = new LeaseStatus(new DecisionLog(actions));
    final OutlierDetector outlierDetector;
    final ActiveEndpoints activeEndpoints;
    final EndpointSelector.Filter filter;
    final EndpointSelector selector;
    final AttemptDispatcher dispatcher;

    DecisionModuleParts() {
        SplittableRandom random = new SplittableRandom(1);
        EndpointSharing sharing = new EndpointSharing(1);
        LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());
        ServiceRate serviceRate = new ServiceRate();
        SlowStart slowStart = new SlowStart(settings, serviceRate, random);
        ConcurrencyLimiter limiter = new ConcurrencyLimiter(
                settings,
                sharing,
                new RequestPriorities(settings, latencies),
                latencies,
                new TimelyResponseRate(),
                slowStart);
        RetryRules retryRules = new RetryRules(settings);
        filter = new EndpointSelector.Filter(limiter, slowStart, retryRules);
        EndpointPicker picker = new EndpointPicker(settings, random, filter);
        activeEndpoints =
                new ActiveEndpoints(new EndpointSubset(settings, sharing), limiter, slowStart, picker, actions);
        outlierDetector = new OutlierDetector(settings, sharing, random, new DecisionLog(actions), activeEndpoints);
        activeEndpoints.setOutlierDetector(outlierDetector);
        selector = new EndpointSelector(outlierDetector, picker, filter);
        dispatcher = new AttemptDispatcher(
                settings,
                actions,
                lease,
                retryRules,
                selector,
                limiter,
                serviceRate,
                new UnresponsiveAttemptDetector(settings, latencies));
    }

    /** Creates endpoints with these ids, makes them the active ones in this order, and returns them. */
    Endpoint[] activateEndpoints(String... ids) {
        Endpoint[] endpoints = new Endpoint[ids.length];
        for (int i = 0; i < ids.length; i++) {
            endpoints[i] = PolicyTestObjects.endpoint(settings, ids[i]);
        }
        activeEndpoints.update(List.of(endpoints), NOW_US);
        return endpoints;
    }

    PendingRequest request(int classIndex) {
        return PolicyTestObjects.request(settings, classIndex, NOW_US);
    }

    /** Reports failures of an endpoint until it is ejected. */
    void eject(Endpoint endpoint) {
        while (!endpoint.health().isEjected()) {
            outlierDetector.onFailure(endpoint, PolicyTestObjects.IDEMPOTENT, true, NOW_US);
        }
    }
}

package loadbalancer.policy;

import java.util.List;

import loadbalancer.policy.admission.ConcurrencyLimiter;
import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.selection.EndpointPicker;
import loadbalancer.policy.selection.EndpointSubset;

/** The endpoints that this instance uses: all that are ready, or its subset of them in a large fleet. */
final class ActiveEndpoints implements OutlierDetector.Listener {
    private final EndpointSubset subset;
    private final ConcurrencyLimiter limiter;
    private final SlowStart slowStart;
    private final EndpointPicker picker;
    private final LoadBalancerActions actions;
    private OutlierDetector outlierDetector;
    private Endpoint[] active = {};

    ActiveEndpoints(
            EndpointSubset subset,
            ConcurrencyLimiter limiter,
            SlowStart slowStart,
            EndpointPicker picker,
            LoadBalancerActions actions) {
        this.subset = subset;
        this.limiter = limiter;
        this.slowStart = slowStart;
        this.picker = picker;
        this.actions = actions;
    }

    /** Sets the detector that reports here; to be called once, before the first list. */
    void setOutlierDetector(OutlierDetector detector) {
        outlierDetector = detector;
    }

    /** Follows a change of the endpoint list. */
    void update(List<Endpoint> listed, long nowUs) {
        Endpoint[] previous = active;
        active = subset.selectFrom(ready(listed));
        limiter.onSharingChanged();
        slowStart.setActiveEndpointCount(active.length);
        for (Endpoint endpoint : previous) {
            endpoint.deactivate();
        }
        limiter.initializeLimits(listed, active);
        for (int i = 0; i < active.length; i++) {
            active[i].activate(i);
            slowStart.spreadFirstAttempt(active[i], nowUs);
        }
        for (Endpoint endpoint : previous) {
            closeIfUnused(endpoint);
        }
        picker.setActiveEndpoints(active);
        onEjectionsChanged();
    }

    private static Endpoint[] ready(List<Endpoint> listed) {
        return listed.stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .toArray(Endpoint[]::new);
    }

    /** Closes connections to an endpoint no longer used: they would take connections from instances that use it. */
    void closeIfUnused(Endpoint endpoint) {
        if (!endpoint.isActive() && endpoint.concurrency().inFlight() == 0) {
            actions.closeIdleConnections(endpoint.id());
        }
    }

    @Override
    public void onErrorCountChanged() {
        picker.markWeightsStale();
    }

    @Override
    public void onEjectionsChanged() {
        picker.markWeightsStale();
        limiter.recomputeTotals(active);
        outlierDetector.refreshEjectedEndpoints(active);
    }
}

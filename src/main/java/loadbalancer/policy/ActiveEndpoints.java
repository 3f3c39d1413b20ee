package loadbalancer.policy;

import java.util.List;

import loadbalancer.policy.admission.ConcurrencyLimiter;
import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.health.SlowStart;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.selection.EndpointPicker;
import loadbalancer.policy.selection.EndpointSubset;

/** The endpoints that this instance uses: all ready endpoints or, in a large fleet, this instance's subset of them. */
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

    /** Sets the detector that reports to this listener. Must be called once, before the first {@link #update}. */
    void setOutlierDetector(OutlierDetector detector) {
        outlierDetector = detector;
    }

    /**
     * Recomputes the active endpoints after a change of the endpoint list.
     *
     * @param listed all endpoints of the list, in list order
     */
    void update(List<Endpoint> listed, long nowUs) {
        Endpoint[] previous = active;
        active = subset.selectFrom(readyEndpoints(listed));
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

    private static Endpoint[] readyEndpoints(List<Endpoint> listed) {
        return listed.stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .toArray(Endpoint[]::new);
    }

    /**
     * Closes this instance's idle connections to an endpoint that is not active and has no attempt in flight. If they
     * stayed open, fewer connections would be left for the instances that use the endpoint.
     */
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

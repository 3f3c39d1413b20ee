package loadbalancer.policy.admission;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/**
 * Assigns priorities to requests. The priority is the priority weight of the request's class, reduced if its tenant is
 * over its quota. Unless the settings give weights per unit of work, it is divided by the mean latency of the class as
 * the measure of the work per request.
 */
public final class RequestPriorities {
    private final LoadBalancerSettings settings;
    private final LatencyStatistics latencies;
    private final TenantQuotas quotas;

    /** Creates priorities by these settings; the mean {@code latencies} measure the work per request. */
    public RequestPriorities(LoadBalancerSettings settings, LatencyStatistics latencies) {
        this.settings = settings;
        this.latencies = latencies;
        quotas = new TenantQuotas(settings.tenants, settings.instances);
    }

    /** Sets the priority of a request that has just arrived, and counts the request against its tenant's quota. */
    public void assign(PendingRequest request, long nowUs) {
        double weight = request.requestClass().priorityWeight();
        if (!quotas.tryConsume(request.tenantIndex(), nowUs)) {
            weight *= settings.overQuotaPriorityFactor;
            if (!settings.endpointsCacheKeys) {
                request.setOverQuota();
            }
        }
        request.setPriority(priorityOf(weight, request.classIndex()));
    }

    /** Returns the priority of a request relative to the highest priority of all classes, from 0 to 1. */
    public double relativePriority(PendingRequest request) {
        double highestPriority = request.priority();
        for (int c = 0; c < settings.classes.size(); c++) {
            // The work of a class without results is unknown; such a class must not outrank all others.
            double weight = latencies.hasResults(c) ? settings.classes.get(c).priorityWeight() : 0;
            highestPriority = Math.max(highestPriority, priorityOf(weight, c));
        }
        return highestPriority > 0 ? request.priority() / highestPriority : 0;
    }

    private double priorityOf(double weight, int classIndex) {
        return settings.isPriorityWeightPerWork ? weight : weight / Math.max(1, latencies.meanUs(classIndex));
    }
}

package loadbalancer.policy.health;

import java.util.SplittableRandom;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.Tenant;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.statistics.ServiceRate;

/**
 * Slow start: spaces the attempts at an endpoint that is warming up, so that all instances together stay below the
 * overload factor of the settings.
 *
 * <p>An endpoint's full capacity is estimated as its even share of all tenants' quotas or, without quotas, of the rate
 * of this instance's successful responses. While the endpoint warms up, its current capacity is taken to be the minimum
 * share of this estimate that it has at that time. All instances together may send the overload factor times the
 * current capacity; each instance sends its part of these attempts, evenly spaced. The arrival rate is not used to
 * estimate capacity, since clients' retries multiply arrivals under overload.
 */
public final class SlowStart {
    /**
     * Cost of a request at an endpoint that has not cached any keys yet, relative to the usual cost. The relative cost
     * falls to 1 while the endpoint warms up.
     */
    private static final double UNCACHED_KEY_COST = 3;

    /**
     * Share of the overload factor that is used without quotas, where capacity is estimated by the rate of successful
     * responses, which varies.
     */
    private static final double BUDGET_SHARE_WITHOUT_QUOTAS = 0.5;

    private static final double US_PER_SECOND = 1e6;

    private final LoadBalancerSettings settings;
    private final ServiceRate serviceRate;
    private final SplittableRandom random;
    private final double quotaPerSecond;
    private int activeEndpoints;
    /** The largest number of endpoints used so far, so that removals do not raise an endpoint's share of the quotas. */
    private int maxActiveEndpoints;

    /** Creates the slow start of an instance; {@code serviceRate} is the rate of its successful responses. */
    public SlowStart(LoadBalancerSettings settings, ServiceRate serviceRate, SplittableRandom random) {
        this.settings = settings;
        this.serviceRate = serviceRate;
        this.random = random;
        quotaPerSecond =
                settings.tenants.stream().mapToDouble(Tenant::quotaPerSecond).sum();
    }

    /** Sets the number of endpoints that this instance uses. */
    public void setActiveEndpointCount(int count) {
        activeEndpoints = count;
        maxActiveEndpoints = Math.max(maxActiveEndpoints, count);
    }

    /**
     * Delays the first attempt at a warming endpoint by a random part of the interval between attempts, since all
     * instances learn of the endpoint at the same time.
     */
    public void spreadFirstAttempt(Endpoint endpoint, long nowUs) {
        if (isWarmingUp(endpoint, nowUs) && endpoint.lastAttemptAtUs() == 0) {
            endpoint.setLastAttemptAtUs(nowUs - (long) (random.nextDouble() * intervalUs(endpoint, nowUs)));
        }
    }

    /** Returns whether an endpoint is warming up. */
    public boolean isWarmingUp(Endpoint endpoint, long nowUs) {
        return endpoint.incarnationStartedAtUs() != 0 && nowUs < endpoint.warmingUpSinceUs() + settings.slowStartUs;
    }

    /** Returns whether slow start allows an attempt at an endpoint now. */
    public boolean allows(Endpoint endpoint, long nowUs) {
        return !isWarmingUp(endpoint, nowUs) || nowUs >= endpoint.lastAttemptAtUs() + intervalUs(endpoint, nowUs);
    }

    /** Returns the minimum time between two attempts of this instance at a warming endpoint, in microseconds. */
    private long intervalUs(Endpoint endpoint, long nowUs) {
        double progress = (double) (nowUs - endpoint.warmingUpSinceUs()) / settings.slowStartUs;
        double capacityShare = settings.initialCapacityShare + (1 - settings.initialCapacityShare) * progress;
        double requestCost = settings.endpointsCacheKeys ? UNCACHED_KEY_COST + (1 - UNCACHED_KEY_COST) * progress : 1;
        double budgetShare = quotaPerSecond > 0 ? 1 : BUDGET_SHARE_WITHOUT_QUOTAS;
        double permittedLoadFactor = Math.max(1, settings.overloadFactor * budgetShare) / requestCost;
        return (long) (evenIntervalUs(nowUs) / (capacityShare * permittedLoadFactor));
    }

    /**
     * Returns the time between two attempts of this instance at one endpoint, in microseconds, if the load at full
     * capacity were divided evenly among instances and endpoints.
     */
    private double evenIntervalUs(long nowUs) {
        return quotaPerSecond > 0
                ? US_PER_SECOND * settings.instances * maxActiveEndpoints / quotaPerSecond
                : serviceRate.intervalUs(nowUs) * Math.max(1, activeEndpoints);
    }
}

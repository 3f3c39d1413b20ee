package loadbalancer.policy.admission;

import java.util.List;

import loadbalancer.policy.Tenant;

/** This instance's even share of the tenants' quotas, enforced by one token bucket per tenant. */
final class TenantQuotas {
    /** Size of a bucket as the time, in seconds, in which the quota fills it. */
    private static final double BURST_SECONDS = 1;

    /**
     * Minimum size of a bucket in requests: even with a quota of a few requests per second, requests come in bursts.
     */
    private static final double MIN_BUCKET_SIZE = 8;

    private static final double US_PER_SECOND = 1e6;

    private final double[] ratePerSecond;
    private final double[] tokens;
    private final long[] refilledAtUs;

    /** Creates the quotas of one of {@code instances} instances; each bucket starts with the quota of one second. */
    TenantQuotas(List<Tenant> tenants, int instances) {
        ratePerSecond = tenants.stream()
                .mapToDouble(tenant -> tenant.quotaPerSecond() / instances)
                .toArray();
        tokens = new double[ratePerSecond.length];
        refilledAtUs = new long[ratePerSecond.length];
    }

    /**
     * Consumes one request of a tenant's quota if it has one left, and returns whether it had. Requests without a
     * tenant (-1) and tenants without a quota are not limited.
     */
    boolean tryConsume(int tenant, long nowUs) {
        if (tenant < 0 || ratePerSecond[tenant] <= 0) {
            return true;
        }
        refill(tenant, nowUs);
        if (tokens[tenant] < 1) {
            return false;
        }
        tokens[tenant]--;
        return true;
    }

    private void refill(int tenant, long nowUs) {
        double bucketSize = Math.max(MIN_BUCKET_SIZE, ratePerSecond[tenant] * BURST_SECONDS);
        double elapsedSeconds =
                refilledAtUs[tenant] == 0 ? BURST_SECONDS : (nowUs - refilledAtUs[tenant]) / US_PER_SECOND;
        refilledAtUs[tenant] = nowUs;
        tokens[tenant] = Math.min(bucketSize, tokens[tenant] + ratePerSecond[tenant] * elapsedSeconds);
    }
}

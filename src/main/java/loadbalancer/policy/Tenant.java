package loadbalancer.policy;

/**
 * A tenant, whose requests share one quota.
 *
 * @param name the name of the tenant in the settings
 * @param quotaPerSecond requests per second that the quota allows, over all instances together; 0 means no limit
 */
public record Tenant(String name, double quotaPerSecond) {}

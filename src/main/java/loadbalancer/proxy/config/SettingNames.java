package loadbalancer.proxy.config;

/**
 * The names of the settings in the configuration file and on the simulator's wire, each as a constant that is named for
 * the field of {@link loadbalancer.policy.LoadBalancerSettings}, {@link loadbalancer.policy.RequestClass} or
 * {@link loadbalancer.policy.Tenant} that it sets.
 */
final class SettingNames {
    static final String INSTANCES = "balancers";
    static final String INSTANCE_INDEX = "me";
    static final String ZONES = "zones";
    static final String LOCAL_ZONE = "myZone";
    static final String CLASSES = "classes";
    static final String TENANTS = "realms";
    static final String OVER_QUOTA_PRIORITY_FACTOR = "overShareWorth";
    static final String WEIGHTED_BY = "countedBy";
    static final String MAX_ATTEMPTS = "limits.attemptsCap";
    static final String HEDGING_ENABLED = "limits.parallelTries";
    static final String CANCELLATION_ENABLED = "limits.cancelling";
    static final String RETRY_AFTER_ENABLED = "limits.retryAfter";
    static final String MAX_RETRY_AFTER_US = "limits.maxRetryAfterUs";
    static final String EVENT_INTERVAL_US = "quantumUs";
    static final String CONNECT_TIMEOUT_US = "limits.dialTimeoutUs";
    static final String ENDPOINT_LIST_MODE = "membershipMode";
    static final String POLL_INTERVAL_US = "rules.askWithinUs";
    static final String DRAIN_GRACE_US = "rules.drainGraceUs";
    static final String INITIAL_CAPACITY_SHARE = "rules.coldFrom";
    static final String SLOW_START_US = "rules.coldUs";
    static final String OVERLOAD_FACTOR = "rules.overloadFactor";
    static final String OVERLOAD_WINDOW_US = "rules.fallUs";
    static final String CROSS_ZONE_COST = "costs.crossZone";
    static final String ENDPOINTS_CACHE_KEYS = "extra.warmKeys";
    static final String LOAD_REPORT_FIELDS = "report.fields";

    /** The number of elements of a list of objects, under the name of the list. */
    static final String COUNT = "count";

    /** The name of a request class or a tenant. */
    static final String NAME = "name";

    static final String TENANT_QUOTA_PER_SECOND = "quotaPerS";

    static final String CLASS_LATENCY_OBJECTIVE_US = "onTimeUs";
    static final String CLASS_LATENCY_OBJECTIVE_WORK_FACTOR = "aimStretch";
    static final String CLASS_DEADLINE_US = "giveUpUs";
    static final String CLASS_PRIORITY_WEIGHT = "importance";
    static final String CLASS_LATE_PRIORITY_FACTOR = "lateWorth";
    static final String CLASS_IDEMPOTENCY = "repeat";
    static final String CLASS_DEDUPLICATION_SCOPE = "group";
    static final String CLASS_DEDUPLICATION_WINDOW_US = "windowUs";
    static final String CLASS_STREAMING = "stream";

    /** The value of {@link #WEIGHTED_BY} if priority weights apply to each unit of work and not to each request. */
    static final String WEIGHTED_BY_WORK = "work";

    /** The value of {@link #ENDPOINT_LIST_MODE} if the endpoint list must be polled. */
    static final String ENDPOINT_LIST_POLLED = "on_request";

    private SettingNames() {}
}

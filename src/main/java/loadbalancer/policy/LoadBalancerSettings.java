package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

/** The settings of one load balancer instance. */
public final class LoadBalancerSettings {
    /** The longest time for which the process may be suspended between reading its clock and writing to a socket. */
    public static final long MAX_SUSPENSION_US = 150_000;

    /** Number of load balancer instances in the fleet, including this one. */
    public int instances = 1;
    /** Index of this instance in the fleet, from 0; the setting is named {@code me}. */
    public int instanceIndex;
    /** Zone of this instance, as an index into {@link #zones}. */
    public int localZone;
    /** Names of the zones. */
    public List<String> zones = new ArrayList<>();
    /** Request classes; there must be at least one. */
    public List<RequestClass> classes = new ArrayList<>();
    /** Tenants; may be empty. */
    public List<Tenant> tenants = new ArrayList<>();
    /** Factor applied to the priority weight of a request whose tenant is over its quota. */
    public double overQuotaPriorityFactor = 1;
    /** Whether priority weights count per unit of work; otherwise they count per request. */
    public boolean isPriorityWeightPerWork;
    /** Maximum number of attempts for a request. */
    public int maxAttempts = 3;
    /** Whether a request may have two attempts in flight at once. */
    public boolean hedgingEnabled;
    /** Whether attempts may be cancelled. */
    public boolean cancellationEnabled;
    /** Maximum Retry-After of a rejected request; 0 if there must be none. */
    public long maxRetryAfterUs;
    /** Minimum time between two events. */
    public long eventIntervalUs = 1_000;
    /** Maximum time to open a connection. */
    public long connectTimeoutUs = 250_000;
    /** Whether the module must poll the endpoint list; otherwise the caller reports it without being asked. */
    public boolean endpointListPolled;
    /** Maximum time between two polls of the endpoint list while there is no watch. */
    public long pollIntervalUs = 10_000_000;
    /** Time for which attempts at an endpoint may continue after the notification that it is draining or removed. */
    public long drainGraceUs = 1_000_000;
    /** Minimum share of its full capacity that an endpoint has when its process starts. */
    public double initialCapacityShare = 0.2;
    /** Maximum duration of the slow start of an endpoint, after which it has its full capacity. */
    public long slowStartUs = 20_000_000;
    /** Multiple of its current capacity at which the load from all instances makes a warming-up endpoint fail. */
    public double overloadFactor = 3;
    /** Time for which a load of {@link #overloadFactor} must last to make a warming-up endpoint fail. */
    public long overloadWindowUs = 2_000_000;
    /** Cost of an attempt at an endpoint in another zone; 0 if it costs nothing. */
    public double crossZoneCost;
    /** Whether endpoints cache the results for keys, so that a recent key takes less work to serve again. */
    public boolean endpointsCacheKeys;
    /** Fields of the load reports, in the order of their values; empty if there are no load reports. */
    public List<LoadReportField> loadReportFields = new ArrayList<>();

    /**
     * Checks that required settings are present and that numbers are in their ranges.
     *
     * @throws IllegalArgumentException if a setting is missing or out of range; the message names the setting
     */
    public void validate() {
        require(!classes.isEmpty(), "classes is empty");
        require(instances >= 1, "instances is below 1: " + instances);
        require(
                instanceIndex >= 0 && instanceIndex < instances,
                "me is not from 0 to " + (instances - 1) + ": " + instanceIndex);
        require(maxAttempts >= 1, "maxAttempts is below 1: " + maxAttempts);
        require(
                localZone >= 0 && localZone < Math.max(1, zones.size()),
                "localZone is not an index into zones: " + localZone);
        requireNotNegative(eventIntervalUs, "eventIntervalUs");
        requireNotNegative(slowStartUs, "slowStartUs");
        requireNotNegative(overloadWindowUs, "overloadWindowUs");
        requireNotNegative(drainGraceUs, "drainGraceUs");
        requireNotNegative(connectTimeoutUs, "connectTimeoutUs");
        requireNotNegative(pollIntervalUs, "pollIntervalUs");
        requireNotNegative(maxRetryAfterUs, "maxRetryAfterUs");
        require(
                initialCapacityShare > 0 && initialCapacityShare <= 1,
                "initialCapacityShare is not in (0, 1]: " + initialCapacityShare);
        require(overloadFactor > 0, "overloadFactor is not above 0: " + overloadFactor);
        classes.forEach(LoadBalancerSettings::validate);
    }

    private static void validate(RequestClass requestClass) {
        try {
            requireNotNegative(requestClass.latencyObjectiveUs(), "latencyObjectiveUs");
            require(requestClass.deadlineUs() > 0, "deadlineUs is not above 0: " + requestClass.deadlineUs());
            requireNotNegative(requestClass.deduplicationWindowUs(), "deduplicationWindowUs");
            requireNotNegative(requestClass.latencyObjectiveWorkFactor(), "latencyObjectiveWorkFactor");
            requireNotNegative(requestClass.priorityWeight(), "priorityWeight");
            requireNotNegative(requestClass.latePriorityFactor(), "latePriorityFactor");
            require(hasDeduplicationScope(requestClass), "deduplicationScope is missing; idempotency keys require one");
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException("class " + requestClass.name() + ": " + e.getMessage(), e);
        }
    }

    private static boolean hasDeduplicationScope(RequestClass requestClass) {
        return requestClass.idempotency() != Idempotency.IDEMPOTENCY_KEY || requestClass.deduplicationScope() != null;
    }

    private static void requireNotNegative(long value, String field) {
        if (value < 0) {
            throw new IllegalArgumentException(field + " is negative: " + value);
        }
    }

    private static void requireNotNegative(double value, String field) {
        if (!(value >= 0)) {
            throw new IllegalArgumentException(field + " is negative or not a number: " + value);
        }
    }

    private static void require(boolean isValid, String message) {
        if (!isValid) {
            throw new IllegalArgumentException(message);
        }
    }
}

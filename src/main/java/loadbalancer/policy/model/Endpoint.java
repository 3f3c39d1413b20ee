package loadbalancer.policy.model;

import java.util.SplittableRandom;
import java.util.stream.Stream;

import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointState;

/** An upstream endpoint of the endpoint list, with the state that this instance keeps about it. */
public final class Endpoint {
    private final String id;
    private final long hash;
    private final EndpointHealth health = new EndpointHealth();
    private final EndpointHealth[] healthByClass;
    private final EndpointConcurrency concurrency = new EndpointConcurrency();
    private EndpointState state = EndpointState.REMOVED;
    private int zone;
    private int cell;
    private long incarnationStartedAtUs;
    private long warmingUpSinceUs;
    private long lastAttemptAtUs;
    private boolean active;
    private int activeIndex;
    private int errorCount;

    /**
     * Creates an endpoint that is not in the endpoint list yet.
     *
     * @param classCount the number of request classes
     */
    public Endpoint(String id, int classCount) {
        this.id = id;
        hash = new SplittableRandom(id.hashCode()).nextLong();
        healthByClass = Stream.generate(EndpointHealth::new).limit(classCount).toArray(EndpointHealth[]::new);
    }

    /** Returns the id that attempts refer to; it stays the same when the endpoint restarts. */
    public String id() {
        return id;
    }

    /** Returns a hash of the id that is the same on every instance. */
    public long hash() {
        return hash;
    }

    /** Returns the health according to the results of all request classes. */
    public EndpointHealth health() {
        return health;
    }

    /** Returns the health for one request class: an endpoint may fail one class and serve the others. */
    public EndpointHealth healthOf(int classIndex) {
        return healthByClass[classIndex];
    }

    public int classCount() {
        return healthByClass.length;
    }

    public EndpointConcurrency concurrency() {
        return concurrency;
    }

    /** Returns the state according to the endpoint list; {@link EndpointState#REMOVED} while it is not listed. */
    public EndpointState state() {
        return state;
    }

    /** Returns the index into the zones of the settings, or -1 if the settings do not name the zone. */
    public int zone() {
        return zone;
    }

    /** Returns the number of the cell: the group of endpoints that share a record of received idempotency keys. */
    public int cell() {
        return cell;
    }

    /** Updates state, zone and cell from an entry of the endpoint list. */
    public void update(EndpointListEntry entry) {
        state = entry.state();
        zone = entry.zone();
        cell = entry.cell();
    }

    /** Marks the endpoint as no longer in the endpoint list. */
    public void markRemoved() {
        state = EndpointState.REMOVED;
    }

    /**
     * Returns when the endpoint's process started, by the clock of another machine; 0 if it started long ago. The value
     * only distinguishes one incarnation from the next.
     */
    public long incarnationStartedAtUs() {
        return incarnationStartedAtUs;
    }

    /** Returns the time, by this instance's clock, from which the incarnation counts as warming up. */
    public long warmingUpSinceUs() {
        return warmingUpSinceUs;
    }

    /**
     * Records that a new process runs at this endpoint.
     *
     * @param startedAtUs the start of the process, by the clock of another machine
     * @param newWarmingUpSinceUs the start of its slow start, by this instance's clock
     */
    public void startIncarnation(long startedAtUs, long newWarmingUpSinceUs) {
        incarnationStartedAtUs = startedAtUs;
        warmingUpSinceUs = newWarmingUpSinceUs;
        lastAttemptAtUs = 0;
    }

    /**
     * Returns the start time of the last attempt, or the time that slow start has set in its place; 0 if this
     * incarnation has had no attempt.
     */
    public long lastAttemptAtUs() {
        return lastAttemptAtUs;
    }

    /** Sets the time from which slow start counts the interval until the next attempt. */
    public void setLastAttemptAtUs(long atUs) {
        lastAttemptAtUs = atUs;
    }

    /** Returns whether this instance uses the endpoint: it is ready and in the instance's subset. */
    public boolean isActive() {
        return active;
    }

    /** Returns the index among the active endpoints, in list order; an inactive endpoint keeps its last index. */
    public int activeIndex() {
        return activeIndex;
    }

    /** Marks the endpoint as active, at this index among the active endpoints. */
    public void activate(int index) {
        active = true;
        activeIndex = index;
    }

    public void deactivate() {
        active = false;
    }

    /**
     * Returns whether the endpoint is active and has no ejection that applies to all request classes. Only available
     * endpoints count towards the sum of all concurrency limits.
     */
    public boolean isAvailable() {
        return active && !health.isEjected();
    }

    /** Returns whether requests of this class get only probation attempts at the endpoint. */
    public boolean isEjectedFor(int classIndex) {
        return health.isEjected() || healthByClass[classIndex].isEjected();
    }

    /** Returns whether the endpoint is ejected for at least one request class. */
    public boolean isEjectedForAnyClass() {
        if (health.isEjected()) {
            return true;
        }
        for (EndpointHealth classHealth : healthByClass) {
            if (classHealth.isEjected()) {
                return true;
            }
        }
        return false;
    }

    /** Returns the error count that determines the endpoint's weight. */
    public int errorCount() {
        return errorCount;
    }

    /** Sets the error count; only outlier detection calls this method. */
    public void setErrorCount(int errors) {
        errorCount = errors;
    }
}

package loadbalancer.proxy.resources;

/** Provides the time for timestamps, deadlines and timeouts. */
@FunctionalInterface
public interface Clock {
    /** Returns the current Unix time in microseconds, which never decreases. */
    long nowUs();
}

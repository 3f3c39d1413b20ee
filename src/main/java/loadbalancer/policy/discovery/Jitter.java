package loadbalancer.policy.discovery;

/** A source of random delays, which tests replace by fixed ones. */
@FunctionalInterface
public interface Jitter {
    /** Returns a delay between two bounds in microseconds, both inclusive. */
    long between(long minUs, long maxUs);
}

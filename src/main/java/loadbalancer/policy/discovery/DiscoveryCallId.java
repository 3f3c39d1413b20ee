package loadbalancer.policy.discovery;

/**
 * Identifies a call to discovery.
 *
 * @param number unique within a process; never reused
 */
public record DiscoveryCallId(long number) {
    DiscoveryCallId next() {
        return new DiscoveryCallId(number + 1);
    }
}

package loadbalancer.proxy.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointState;

/**
 * An endpoint list that discovery publishes: complete, or the changes since an earlier version.
 *
 * @param version increases with each change, unless discovery restarts its versions
 * @param isComplete whether the list holds all endpoints; otherwise it holds only those that have changed
 * @param endpoints the entries in the order in which discovery sent them
 */
public record EndpointList(long version, boolean isComplete, List<AddressedEndpoint> endpoints) {
    private static final int MAX_LOGGED_IDS = 16;

    /**
     * An entry of the list with the address of its endpoint.
     *
     * @param entry the entry as the policy sees it
     * @param address the IP address and port of the endpoint; null if the endpoint is removed
     */
    public record AddressedEndpoint(EndpointListEntry entry, InetSocketAddress address) {}

    /** Returns the ids of the first endpoints that are draining or removed, separated by commas, for the log. */
    public String unavailableIds() {
        return endpoints.stream()
                .filter(endpoint -> endpoint.entry().state() != EndpointState.READY)
                .limit(MAX_LOGGED_IDS)
                .map(endpoint -> endpoint.entry().id())
                .collect(Collectors.joining(","));
    }
}

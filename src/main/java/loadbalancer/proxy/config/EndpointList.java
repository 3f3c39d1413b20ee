package loadbalancer.proxy.config;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.stream.Collectors;

import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointState;

/**
 * An endpoint list of discovery, or the changes since an earlier one.
 *
 * @param version increases with each change, unless discovery restarts its versions
 * @param isComplete whether it holds all endpoints or only those that changed
 * @param endpoints its entries, in order
 */
public record EndpointList(long version, boolean isComplete, List<AddressedEndpoint> endpoints) {
    private static final int MAX_LOGGED_IDS = 16;

    /**
     * An entry of the list with the address of its endpoint.
     *
     * @param entry what the policy needs to know
     * @param address null if the endpoint is removed
     */
    public record AddressedEndpoint(EndpointListEntry entry, InetSocketAddress address) {}

    /** The ids of the first endpoints that are draining or removed, separated by commas, for the log. */
    public String unavailableIds() {
        return endpoints.stream()
                .filter(endpoint -> endpoint.entry().state() != EndpointState.READY)
                .limit(MAX_LOGGED_IDS)
                .map(endpoint -> endpoint.entry().id())
                .collect(Collectors.joining(","));
    }
}

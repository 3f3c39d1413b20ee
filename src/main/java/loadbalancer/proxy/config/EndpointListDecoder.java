package loadbalancer.proxy.config;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import com.fasterxml.jackson.databind.JsonNode;

import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointState;
import loadbalancer.proxy.config.EndpointList.AddressedEndpoint;
import loadbalancer.proxy.protocol.DiscoveryProtocol;

/** Decodes endpoint lists from JSON. Discovery and the cached list in the configuration use the same format. */
public final class EndpointListDecoder {
    private static final long MICROSECONDS_PER_MILLISECOND = 1_000;
    private static final double DEFAULT_CAPACITY = 1;
    /** The index of a zone that is not among the zones of the settings. */
    private static final int UNKNOWN_ZONE = -1;

    private final List<String> zones;

    /** Creates a decoder for the zones of the settings, which entries refer to by name. */
    public EndpointListDecoder(List<String> zones) {
        this.zones = zones;
    }

    /**
     * Decodes a list.
     *
     * @throws ConfigurationException if a field is missing or invalid
     */
    public EndpointList decode(JsonNode list) throws ConfigurationException {
        List<AddressedEndpoint> endpoints = new ArrayList<>();
        for (JsonNode entry : requireEntries(list)) {
            endpoints.add(decodeEntry(entry, entryField(endpoints.size())));
        }
        return newList(list, endpoints);
    }

    /**
     * Decodes a list that may have malformed entries. The endpoint of a malformed entry counts as removed, because it
     * may be draining or have another address.
     *
     * @param malformedEntryListener receives the exception of each malformed entry
     * @throws ConfigurationException if a field of the list itself is missing or invalid
     */
    public EndpointList decodeLeniently(JsonNode list, Consumer<ConfigurationException> malformedEntryListener)
            throws ConfigurationException {
        List<AddressedEndpoint> endpoints = new ArrayList<>();
        int index = 0;
        for (JsonNode entry : requireEntries(list)) {
            try {
                endpoints.add(decodeEntry(entry, entryField(index)));
            } catch (ConfigurationException e) {
                malformedEntryListener.accept(e);
                String id = entry.path(DiscoveryProtocol.ENDPOINT_ID_FIELD).asText();
                if (!id.isEmpty()) {
                    endpoints.add(newRemovedEndpoint(id));
                }
            }
            index++;
        }
        return newList(list, endpoints);
    }

    private static JsonNode requireEntries(JsonNode list) throws ConfigurationException {
        JsonNode version = list.path(DiscoveryProtocol.VERSION_FIELD);
        if (!version.isIntegralNumber() || !version.canConvertToLong()) {
            throw new ConfigurationException(DiscoveryProtocol.VERSION_FIELD, "is missing or not an integer");
        }
        JsonNode entries = list.path(DiscoveryProtocol.ENDPOINTS_FIELD);
        if (!entries.isArray()) {
            throw new ConfigurationException(DiscoveryProtocol.ENDPOINTS_FIELD, "is missing or not an array");
        }
        return entries;
    }

    private static String entryField(int index) {
        return DiscoveryProtocol.ENDPOINTS_FIELD + "[" + index + "].";
    }

    private static EndpointList newList(JsonNode list, List<AddressedEndpoint> endpoints) {
        long version = list.path(DiscoveryProtocol.VERSION_FIELD).asLong();
        boolean isComplete = list.path(DiscoveryProtocol.COMPLETE_FIELD).asBoolean();
        return new EndpointList(version, isComplete, endpoints);
    }

    private static AddressedEndpoint newRemovedEndpoint(String id) {
        EndpointListEntry entry =
                new EndpointListEntry(id, UNKNOWN_ZONE, 0, EndpointState.REMOVED, DEFAULT_CAPACITY, 0);
        return new AddressedEndpoint(entry, null);
    }

    private AddressedEndpoint decodeEntry(JsonNode entry, String fieldPrefix) throws ConfigurationException {
        String id = entry.path(DiscoveryProtocol.ENDPOINT_ID_FIELD).asText();
        if (id.isEmpty()) {
            throw new ConfigurationException(fieldPrefix + DiscoveryProtocol.ENDPOINT_ID_FIELD, "is missing");
        }
        EndpointState state = decodeState(entry, fieldPrefix);
        InetSocketAddress address = decodeAddress(entry, state, fieldPrefix);
        long startedAtMs = entry.path(DiscoveryProtocol.STARTED_AT_MS_FIELD).asLong(0);
        EndpointListEntry listEntry = new EndpointListEntry(
                id,
                zones.indexOf(entry.path(DiscoveryProtocol.ZONE_FIELD).asText()),
                entry.path(DiscoveryProtocol.CELL_FIELD).asInt(0),
                state,
                entry.path(DiscoveryProtocol.CAPACITY_FIELD).asDouble(DEFAULT_CAPACITY),
                startedAtMs * MICROSECONDS_PER_MILLISECOND);
        return new AddressedEndpoint(listEntry, address);
    }

    private static EndpointState decodeState(JsonNode entry, String fieldPrefix) throws ConfigurationException {
        String state = entry.path(DiscoveryProtocol.STATE_FIELD).asText();
        return switch (state) {
            case DiscoveryProtocol.READY_STATE -> EndpointState.READY;
            case DiscoveryProtocol.DRAINING_STATE -> EndpointState.DRAINING;
            case DiscoveryProtocol.REMOVED_STATE -> EndpointState.REMOVED;
            default ->
                throw new ConfigurationException(fieldPrefix + DiscoveryProtocol.STATE_FIELD, "is unknown", state);
        };
    }

    /** Returns null for a removed endpoint, as the entry must not be rejected because it has no address. */
    private static InetSocketAddress decodeAddress(JsonNode entry, EndpointState state, String fieldPrefix)
            throws ConfigurationException {
        if (state == EndpointState.REMOVED) {
            return null;
        }
        String address = entry.path(DiscoveryProtocol.ADDRESS_FIELD).asText();
        return ProxyConfiguration.parseAddress(fieldPrefix + DiscoveryProtocol.ADDRESS_FIELD, address);
    }
}

package loadbalancer.proxy.discovery;

import com.fasterxml.jackson.databind.JsonNode;

import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.config.EndpointListDecoder;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;

/**
 * Decodes the endpoint lists of discovery. A malformed list is dropped, and the list is requested again. The list after
 * a malformed one is decoded without its malformed entries, so that an entry that stays malformed does not block all
 * later changes.
 */
final class FallbackListDecoder {
    private enum Mode {
        /** A malformed entry makes the list malformed. */
        STRICT,
        /** The next list is decoded despite malformed entries, whose endpoints count as removed. */
        LENIENT
    }

    private final EndpointListDecoder decoder;
    private Mode mode = Mode.STRICT;

    FallbackListDecoder(EndpointListDecoder decoder) {
        this.decoder = decoder;
    }

    /** Causes the next list to be decoded leniently, because the caller drops a malformed list. */
    void onMalformedList() {
        mode = Mode.LENIENT;
    }

    /**
     * Decodes a list.
     *
     * @throws ConfigurationException if the list is malformed; the caller then calls {@link #onMalformedList}
     */
    EndpointList decode(JsonNode list) throws ConfigurationException {
        if (mode == Mode.STRICT) {
            return decoder.decode(list);
        }
        mode = Mode.STRICT;
        return decoder.decodeLeniently(list, this::onMalformedEntry);
    }

    private void onMalformedEntry(ConfigurationException malformed) {
        mode = Mode.LENIENT;
        EventLog.event(LogEvent.named("endpoint_list_entry_malformed").with("reason", malformed.getMessage()));
    }
}

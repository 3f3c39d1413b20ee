package loadbalancer.proxy.config;

import java.io.File;
import java.io.IOException;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

import loadbalancer.policy.LoadBalancerSettings;

/** The configuration file, and the environment variables that hold its path and override its addresses. */
final class ConfigurationFile {
    /** The environment variable that overrides the address of discovery. */
    static final String DISCOVERY_VARIABLE = "PROXY_DISCOVERY";

    private static final String FILE_VARIABLE = "PROXY_CONFIG";
    private static final String LISTEN_VARIABLE = "PROXY_LISTEN";

    private static final String LISTEN_FIELD = "listen";
    private static final String DISCOVERY_FIELD = "discovery";
    private static final String SEED_FIELD = "seed";
    private static final String CACHED_ENDPOINTS_FIELD = "known";
    private static final String SETTINGS_FIELD = "settings";
    private static final String LIMITS_FIELD = "limits";
    private static final String MAX_DESCRIPTORS_FIELD = "sockets";
    private static final String MAX_MEMORY_FIELD = "memory_mb";
    private static final String UPSTREAM_IDLE_TIMEOUT_FIELD = "connIdleUs";

    private static final int MIN_DESCRIPTORS = 64;
    private static final double BYTES_PER_MB = 1 << 20;
    private static final long DEFAULT_UPSTREAM_IDLE_TIMEOUT_US = 15_000_000;
    private static final int SEED_RADIX = 16;

    private final Map<String, String> env;
    private final JsonNode json;

    private ConfigurationFile(Map<String, String> env, JsonNode json) {
        this.env = env;
        this.json = json;
    }

    static ConfigurationFile read(Map<String, String> env) throws ConfigurationException {
        String path = env.getOrDefault(FILE_VARIABLE, "");
        if (path.isEmpty()) {
            throw new ConfigurationException(FILE_VARIABLE, "is not set");
        }
        try {
            return new ConfigurationFile(env, new ObjectMapper().readTree(new File(path)));
        } catch (JsonProcessingException e) {
            throw new ConfigurationException(FILE_VARIABLE, "is not JSON: " + e.getOriginalMessage());
        } catch (IOException e) {
            throw new ConfigurationException(FILE_VARIABLE, "cannot be read: " + e.getMessage());
        }
    }

    ProxyConfiguration parse() throws ConfigurationException {
        if (!json.isObject() || !json.path(SETTINGS_FIELD).isObject()) {
            throw new ConfigurationException(SETTINGS_FIELD, "is missing or not an object");
        }
        LoadBalancerSettings settings = parseSettings();
        int maxDescriptors = parseMaxDescriptors();
        long maxMemoryBytes = parseMaxMemoryBytes();
        long upstreamIdleTimeoutUs = parseUpstreamIdleTimeoutUs();
        String listen =
                env.getOrDefault(LISTEN_VARIABLE, json.path(LISTEN_FIELD).asText());
        String discovery =
                env.getOrDefault(DISCOVERY_VARIABLE, json.path(DISCOVERY_FIELD).asText());
        return new ProxyConfiguration(
                ProxyConfiguration.parseAddress(LISTEN_FIELD, listen),
                ProxyConfiguration.parseAddress(DISCOVERY_FIELD, discovery),
                parseSeed(),
                maxDescriptors,
                maxMemoryBytes,
                upstreamIdleTimeoutUs,
                parseCachedEndpoints(settings.zones),
                settings);
    }

    private LoadBalancerSettings parseSettings() throws ConfigurationException {
        Map<String, String> values = new HashMap<>();
        flatten("", json.path(SETTINGS_FIELD), values);
        try {
            LoadBalancerSettings settings = SettingsParser.parse(values);
            settings.validate();
            return settings;
        } catch (ConfigurationException e) {
            throw e.within(SETTINGS_FIELD);
        } catch (IllegalArgumentException e) {
            throw new ConfigurationException(SETTINGS_FIELD + ":", e.getMessage());
        }
    }

    /** Adds the values of a JSON node under the dotted names that {@link SettingsParser} expects. */
    private static void flatten(String path, JsonNode node, Map<String, String> values) {
        String prefix = path.isEmpty() ? "" : path + ".";
        if (node.isObject()) {
            node.properties().forEach(field -> flatten(prefix + field.getKey(), field.getValue(), values));
        } else if (node.isArray() && node.path(0).isObject()) {
            values.put(prefix + SettingNames.COUNT, Integer.toString(node.size()));
            for (int i = 0; i < node.size(); i++) {
                flatten(prefix + i, node.get(i), values);
            }
        } else if (node.isArray()) {
            StringBuilder elements = new StringBuilder();
            node.forEach(
                    element -> elements.append(elements.isEmpty() ? "" : ",").append(element.asText()));
            values.put(path, elements.toString());
        } else if (!node.isNull()) {
            values.put(path, node.asText());
        }
    }

    private int parseMaxDescriptors() throws ConfigurationException {
        JsonNode maxDescriptors = json.path(LIMITS_FIELD).path(MAX_DESCRIPTORS_FIELD);
        if (!maxDescriptors.canConvertToInt() || maxDescriptors.asInt() < MIN_DESCRIPTORS) {
            throw new ConfigurationException(
                    LIMITS_FIELD + "." + MAX_DESCRIPTORS_FIELD,
                    "is missing or is not an integer of at least " + MIN_DESCRIPTORS);
        }
        return maxDescriptors.asInt();
    }

    private long parseMaxMemoryBytes() throws ConfigurationException {
        JsonNode maxMemoryMb = json.path(LIMITS_FIELD).path(MAX_MEMORY_FIELD);
        if (maxMemoryMb.isMissingNode() || maxMemoryMb.isNull()) {
            return Long.MAX_VALUE;
        }
        if (!maxMemoryMb.isNumber() || !(maxMemoryMb.asDouble() > 0)) {
            throw new ConfigurationException(LIMITS_FIELD + "." + MAX_MEMORY_FIELD, "is not a number above 0");
        }
        return (long) (maxMemoryMb.asDouble() * BYTES_PER_MB);
    }

    private long parseUpstreamIdleTimeoutUs() throws ConfigurationException {
        long timeoutUs = json.path(SETTINGS_FIELD)
                .path(LIMITS_FIELD)
                .path(UPSTREAM_IDLE_TIMEOUT_FIELD)
                .asLong(DEFAULT_UPSTREAM_IDLE_TIMEOUT_US);
        if (timeoutUs <= 0) {
            throw new ConfigurationException(
                    SETTINGS_FIELD + "." + LIMITS_FIELD + "." + UPSTREAM_IDLE_TIMEOUT_FIELD,
                    "is not greater than 0",
                    Long.toString(timeoutUs));
        }
        return timeoutUs;
    }

    private long parseSeed() throws ConfigurationException {
        String text = json.path(SEED_FIELD).asText();
        try {
            return Long.parseUnsignedLong(text, SEED_RADIX);
        } catch (NumberFormatException e) {
            throw new ConfigurationException(SEED_FIELD, "is not a number of 1 to 16 hexadecimal digits", text);
        }
    }

    private EndpointList parseCachedEndpoints(List<String> zones) throws ConfigurationException {
        if (!json.hasNonNull(CACHED_ENDPOINTS_FIELD)) {
            return new EndpointList(0, true, List.of());
        }
        try {
            return new EndpointListDecoder(zones).decode(json.get(CACHED_ENDPOINTS_FIELD));
        } catch (ConfigurationException e) {
            throw e.within(CACHED_ENDPOINTS_FIELD);
        }
    }
}

package loadbalancer.proxy.config;

import java.util.Arrays;
import java.util.Map;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.LoadReportField;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.Tenant;

/**
 * Parses the settings of the policy, which have the same names in the configuration file and on the simulator's wire. A
 * missing setting keeps the default of {@link LoadBalancerSettings}. Some settings of request classes and the names of
 * tenants are required.
 */
public final class SettingsParser {
    private final SettingValues values;
    private final LoadBalancerSettings settings = new LoadBalancerSettings();

    private SettingsParser(Map<String, String> values) {
        this.values = new SettingValues(values);
    }

    /**
     * Parses settings by their dotted names. Elements of a list of objects are numbered and have a {@code count};
     * elements of a list of values are separated by commas.
     *
     * @throws ConfigurationException if a required setting is missing or a setting cannot be parsed; whether values are
     *     in range is not checked
     */
    public static LoadBalancerSettings parse(Map<String, String> values) throws ConfigurationException {
        return new SettingsParser(values).parse();
    }

    private LoadBalancerSettings parse() throws ConfigurationException {
        parseInstances();
        parseZones();
        parseClasses();
        parseTenants();
        parseAttempts();
        parseIntervals();
        parseEndpointList();
        parseEndpointCapacity();
        parseLoadReport();
        return settings;
    }

    private void parseInstances() throws ConfigurationException {
        settings.instances = values.getInt(SettingNames.INSTANCES, settings.instances);
        settings.instanceIndex = values.getInt(SettingNames.INSTANCE_INDEX, settings.instanceIndex);
    }

    private void parseZones() {
        settings.zones.addAll(Arrays.asList(values.getList(SettingNames.ZONES)));
        settings.localZone = Math.max(0, settings.zones.indexOf(values.getText(SettingNames.LOCAL_ZONE, "")));
    }

    private void parseClasses() throws ConfigurationException {
        int count = values.getCount(SettingNames.CLASSES);
        for (int i = 0; i < count; i++) {
            settings.classes.add(parseClass(SettingNames.CLASSES + "." + i + "."));
        }
    }

    private RequestClass parseClass(String prefix) throws ConfigurationException {
        return new RequestClass(
                values.getRequiredText(prefix + SettingNames.NAME),
                values.getRequiredLong(prefix + SettingNames.CLASS_LATENCY_OBJECTIVE_US),
                values.getDouble(prefix + SettingNames.CLASS_LATENCY_OBJECTIVE_WORK_FACTOR, 0),
                values.getRequiredLong(prefix + SettingNames.CLASS_DEADLINE_US),
                values.getDouble(prefix + SettingNames.CLASS_PRIORITY_WEIGHT, 1),
                values.getDouble(prefix + SettingNames.CLASS_LATE_PRIORITY_FACTOR, 0),
                parseIdempotency(prefix + SettingNames.CLASS_IDEMPOTENCY),
                parseDeduplicationScope(prefix + SettingNames.CLASS_DEDUPLICATION_SCOPE),
                values.getLong(prefix + SettingNames.CLASS_DEDUPLICATION_WINDOW_US, 0),
                values.getBoolean(prefix + SettingNames.CLASS_STREAMING));
    }

    private Idempotency parseIdempotency(String name) throws ConfigurationException {
        String value = values.getRequiredText(name);
        return switch (value) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.IDEMPOTENCY_KEY;
            case "unsafe" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new ConfigurationException(name, "is unknown", value);
        };
    }

    private DeduplicationScope parseDeduplicationScope(String name) throws ConfigurationException {
        String value = values.getText(name, "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new ConfigurationException(name, "is unknown", value);
        };
    }

    private void parseTenants() throws ConfigurationException {
        int count = values.getCount(SettingNames.TENANTS);
        for (int i = 0; i < count; i++) {
            String prefix = SettingNames.TENANTS + "." + i + ".";
            String name = values.getRequiredText(prefix + SettingNames.NAME);
            double quotaPerSecond = values.getDouble(prefix + SettingNames.TENANT_QUOTA_PER_SECOND, 0);
            settings.tenants.add(new Tenant(name, quotaPerSecond));
        }
        settings.overQuotaPriorityFactor =
                values.getDouble(SettingNames.OVER_QUOTA_PRIORITY_FACTOR, settings.overQuotaPriorityFactor);
        settings.isPriorityWeightPerWork =
                SettingNames.WEIGHTED_BY_WORK.equals(values.getText(SettingNames.WEIGHTED_BY, ""));
    }

    private void parseAttempts() throws ConfigurationException {
        settings.maxAttempts = values.getInt(SettingNames.MAX_ATTEMPTS, settings.maxAttempts);
        settings.hedgingEnabled = values.getBoolean(SettingNames.HEDGING_ENABLED);
        settings.cancellationEnabled = values.getBoolean(SettingNames.CANCELLATION_ENABLED);
        settings.maxRetryAfterUs = values.getBoolean(SettingNames.RETRY_AFTER_ENABLED)
                ? values.getLong(SettingNames.MAX_RETRY_AFTER_US, 0)
                : 0;
    }

    private void parseIntervals() throws ConfigurationException {
        settings.eventIntervalUs = values.getLong(SettingNames.EVENT_INTERVAL_US, settings.eventIntervalUs);
        settings.connectTimeoutUs = values.getLong(SettingNames.CONNECT_TIMEOUT_US, settings.connectTimeoutUs);
    }

    private void parseEndpointList() throws ConfigurationException {
        settings.endpointListPolled =
                SettingNames.ENDPOINT_LIST_POLLED.equals(values.getText(SettingNames.ENDPOINT_LIST_MODE, ""));
        settings.pollIntervalUs = values.getLong(SettingNames.POLL_INTERVAL_US, settings.pollIntervalUs);
        settings.drainGraceUs = values.getLong(SettingNames.DRAIN_GRACE_US, settings.drainGraceUs);
    }

    private void parseEndpointCapacity() throws ConfigurationException {
        settings.initialCapacityShare =
                values.getDouble(SettingNames.INITIAL_CAPACITY_SHARE, settings.initialCapacityShare);
        settings.slowStartUs = values.getLong(SettingNames.SLOW_START_US, settings.slowStartUs);
        settings.overloadFactor = values.getDouble(SettingNames.OVERLOAD_FACTOR, settings.overloadFactor);
        settings.overloadWindowUs = values.getLong(SettingNames.OVERLOAD_WINDOW_US, settings.overloadWindowUs);
        settings.crossZoneCost = values.getDouble(SettingNames.CROSS_ZONE_COST, settings.crossZoneCost);
        settings.endpointsCacheKeys = values.getBoolean(SettingNames.ENDPOINTS_CACHE_KEYS);
    }

    private void parseLoadReport() {
        for (String field : values.getList(SettingNames.LOAD_REPORT_FIELDS)) {
            settings.loadReportFields.add(parseLoadReportField(field));
        }
    }

    private static LoadReportField parseLoadReportField(String name) {
        return switch (name) {
            case "concurrent" -> LoadReportField.IN_FLIGHT;
            case "depth" -> LoadReportField.QUEUED;
            case "load_share" -> LoadReportField.UTILIZATION;
            case "mean_ms" -> LoadReportField.LATENCY_MS;
            case "tps" -> LoadReportField.REQUESTS_PER_SECOND;
            case "err_ps" -> LoadReportField.ERRORS_PER_SECOND;
            default -> LoadReportField.OTHER;
        };
    }
}

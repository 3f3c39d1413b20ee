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
 * missing setting has the default of {@link LoadBalancerSettings}, but for some of a request class that are required.
 */
public final class SettingsParser {
    private final SettingValues values;
    private final LoadBalancerSettings settings = new LoadBalancerSettings();

    private SettingsParser(Map<String, String> values) {
        this.values = new SettingValues(values);
    }

    /**
     * Parses settings by their dotted names. Elements of a list of objects are numbered and have a {@code count}; elements
     * of a list of values are separated by commas.
     *
     * @throws ConfigurationException if a setting is missing or cannot be parsed; ranges are not checked
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
        settings.instances = values.intNumber(SettingNames.INSTANCES, settings.instances);
        settings.instanceIndex = values.intNumber(SettingNames.INSTANCE_INDEX, settings.instanceIndex);
    }

    private void parseZones() {
        settings.zones.addAll(Arrays.asList(values.list(SettingNames.ZONES)));
        settings.localZone = Math.max(0, settings.zones.indexOf(values.text(SettingNames.LOCAL_ZONE, "")));
    }

    private void parseClasses() throws ConfigurationException {
        int count = values.count(SettingNames.CLASSES);
        for (int i = 0; i < count; i++) {
            settings.classes.add(parseClass(SettingNames.CLASSES + "." + i + "."));
        }
    }

    private RequestClass parseClass(String prefix) throws ConfigurationException {
        return new RequestClass(
                values.required(prefix + SettingNames.NAME),
                values.requiredLongNumber(prefix + SettingNames.CLASS_LATENCY_OBJECTIVE_US),
                values.decimal(prefix + SettingNames.CLASS_LATENCY_OBJECTIVE_WORK_FACTOR, 0),
                values.requiredLongNumber(prefix + SettingNames.CLASS_DEADLINE_US),
                values.decimal(prefix + SettingNames.CLASS_PRIORITY_WEIGHT, 1),
                values.decimal(prefix + SettingNames.CLASS_LATE_PRIORITY_FACTOR, 0),
                parseIdempotency(prefix + SettingNames.CLASS_IDEMPOTENCY),
                parseDeduplicationScope(prefix + SettingNames.CLASS_DEDUPLICATION_SCOPE),
                values.longNumber(prefix + SettingNames.CLASS_DEDUPLICATION_WINDOW_US, 0),
                values.flag(prefix + SettingNames.CLASS_STREAMING));
    }

    private Idempotency parseIdempotency(String name) throws ConfigurationException {
        String value = values.required(name);
        return switch (value) {
            case "safe" -> Idempotency.IDEMPOTENT;
            case "keyed" -> Idempotency.IDEMPOTENCY_KEY;
            case "unsafe" -> Idempotency.NON_IDEMPOTENT;
            default -> throw new ConfigurationException(name, "is unknown", value);
        };
    }

    private DeduplicationScope parseDeduplicationScope(String name) throws ConfigurationException {
        String value = values.text(name, "all");
        return switch (value) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.ZONE;
            case "cell" -> DeduplicationScope.CELL;
            default -> throw new ConfigurationException(name, "is unknown", value);
        };
    }

    private void parseTenants() throws ConfigurationException {
        int count = values.count(SettingNames.TENANTS);
        for (int i = 0; i < count; i++) {
            String prefix = SettingNames.TENANTS + "." + i + ".";
            String name = values.required(prefix + SettingNames.NAME);
            double quotaPerSecond = values.decimal(prefix + SettingNames.TENANT_QUOTA_PER_SECOND, 0);
            settings.tenants.add(new Tenant(name, quotaPerSecond));
        }
        settings.overQuotaPriorityFactor =
                values.decimal(SettingNames.OVER_QUOTA_PRIORITY_FACTOR, settings.overQuotaPriorityFactor);
        settings.isPriorityWeightPerWork =
                SettingNames.WEIGHTED_BY_WORK.equals(values.text(SettingNames.WEIGHTED_BY, ""));
    }

    private void parseAttempts() throws ConfigurationException {
        settings.maxAttempts = values.intNumber(SettingNames.MAX_ATTEMPTS, settings.maxAttempts);
        settings.hedgingEnabled = values.flag(SettingNames.HEDGING_ENABLED);
        settings.cancellationEnabled = values.flag(SettingNames.CANCELLATION_ENABLED);
        settings.maxRetryAfterUs = values.flag(SettingNames.RETRY_AFTER_ENABLED)
                ? values.longNumber(SettingNames.MAX_RETRY_AFTER_US, 0)
                : 0;
    }

    private void parseIntervals() throws ConfigurationException {
        settings.eventIntervalUs = values.longNumber(SettingNames.EVENT_INTERVAL_US, settings.eventIntervalUs);
        settings.connectTimeoutUs = values.longNumber(SettingNames.CONNECT_TIMEOUT_US, settings.connectTimeoutUs);
    }

    private void parseEndpointList() throws ConfigurationException {
        settings.endpointListPolled =
                SettingNames.ENDPOINT_LIST_POLLED.equals(values.text(SettingNames.ENDPOINT_LIST_MODE, ""));
        settings.pollIntervalUs = values.longNumber(SettingNames.POLL_INTERVAL_US, settings.pollIntervalUs);
        settings.drainGraceUs = values.longNumber(SettingNames.DRAIN_GRACE_US, settings.drainGraceUs);
    }

    private void parseEndpointCapacity() throws ConfigurationException {
        settings.initialCapacityShare =
                values.decimal(SettingNames.INITIAL_CAPACITY_SHARE, settings.initialCapacityShare);
        settings.slowStartUs = values.longNumber(SettingNames.SLOW_START_US, settings.slowStartUs);
        settings.overloadFactor = values.decimal(SettingNames.OVERLOAD_FACTOR, settings.overloadFactor);
        settings.overloadWindowUs = values.longNumber(SettingNames.OVERLOAD_WINDOW_US, settings.overloadWindowUs);
        settings.crossZoneCost = values.decimal(SettingNames.CROSS_ZONE_COST, settings.crossZoneCost);
        settings.endpointsCacheKeys = values.flag(SettingNames.ENDPOINTS_CACHE_KEYS);
    }

    private void parseLoadReport() {
        for (String field : values.list(SettingNames.LOAD_REPORT_FIELDS)) {
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

package loadbalancer.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.EndpointListEntry;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.Request;
import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.SettingsParser;

/**
 * Passes events from the simulator to the instances of the decision module, and their actions to the simulator. Makes
 * no load-balancing decisions itself.
 */
final class SimulatorSession {
    private static final int MAX_ENDPOINT_LISTS = 16;

    /** The load balancer of a node, and the indexes of the names in its settings. */
    private record Instance(
            LoadBalancer loadBalancer,
            Map<String, Integer> classIndexes,
            Map<String, Integer> tenantIndexes,
            Map<String, Integer> zoneIndexes) {}

    /** An entry of an endpoint list. The zone is a name, since each instance numbers zones by its own settings. */
    private record ListedEndpoint(
            String id, String zone, int cell, EndpointState state, double weight, long startedAtUs) {}

    private final WireLineParser parser;
    private final WireActionWriter writer;
    private final Map<String, Instance> instances = new HashMap<>();
    private final List<List<ListedEndpoint>> endpointLists = new ArrayList<>();
    private long nowUs;

    SimulatorSession(InputStream in, OutputStream out) {
        parser = new WireLineParser(in);
        writer = new WireActionWriter(out);
        for (int i = 0; i < MAX_ENDPOINT_LISTS; i++) {
            endpointLists.add(null);
        }
    }

    /** Handles batches of events, and writes a reply to each, until the input ends. */
    void run() throws IOException, WireFormatException {
        while (parser.readLine()) {
            if (parser.name().isEmpty()) {
                continue;
            }
            if (!parser.hasName("begin_batch")) {
                throw parser.formatException("a batch must open with begin_batch, not " + parser.name());
            }
            nowUs = parser.wholeNumber("timeUs");
            readLineOfBatch();
            while (!parser.hasName("eob")) {
                handleEvent();
                readLineOfBatch();
            }
            writer.endReply();
        }
    }

    private void readLineOfBatch() throws IOException, WireFormatException {
        if (!parser.readLine()) {
            throw parser.formatException("the input ends inside a batch");
        }
    }

    private void handleEvent() throws IOException, WireFormatException {
        if (parser.hasName("roster")) {
            readEndpointList();
            return;
        }
        String node = parser.text("node");
        writer.setNode(node);
        if (parser.hasName("boot")) {
            startInstance(node);
            return;
        }
        Instance instance = instances.get(node);
        if (instance == null) {
            throw parser.formatException("node", "names an instance that was never started: " + node);
        }
        if (parser.hasName("shutdown")) {
            instances.remove(node);
            return;
        }
        Runnable call = translateEvent(instance);
        try {
            call.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            writer.reportFault(e + (trace.length > 0 ? " at " + trace[0] : ""));
        }
    }

    private Runnable translateEvent(Instance instance) throws WireFormatException {
        LoadBalancer balancer = instance.loadBalancer;
        long eventUs = nowUs;
        if (parser.hasName("resolved")) {
            AttemptOutcome outcome = new AttemptOutcome(
                    parser.requestId("handle"),
                    (int) parser.wholeNumber("seqNo"),
                    readAttemptResult(),
                    parser.wholeNumber("latencyUs", 0),
                    parser.flag("ended"),
                    parser.numberList("metrics"));
            return () -> balancer.onAttemptOutcome(eventUs, outcome);
        }
        if (parser.hasName("work_item")) {
            String tenant = parser.textOrNull("realm");
            boolean hasTenant = tenant != null && !tenant.equals("0");
            Request request = new Request(
                    parser.requestId("handle"),
                    findIndex(instance.classIndexes, "lane", parser.text("lane")),
                    hasTenant ? findIndex(instance.tenantIndexes, "realm", tenant) : -1,
                    parser.wholeNumber("patienceLeftUs"),
                    parser.wholeNumber("workUs", 0),
                    parser.flag("resent"),
                    parser.textOrNull("routeKey"));
            return () -> balancer.onRequest(eventUs, request);
        }
        if (parser.hasName("bell")) {
            return () -> balancer.onTimer(eventUs);
        }
        if (parser.hasName("topology")) {
            return translateEndpointList(instance);
        }
        if (parser.hasName("client_gone")) {
            long requestId = parser.requestId("handle");
            return () -> balancer.onClientDisconnected(eventUs, requestId);
        }
        if (parser.hasName("first_byte")) {
            long requestId = parser.requestId("handle");
            int attemptNumber = (int) parser.wholeNumber("seqNo");
            return () -> balancer.onFirstByte(eventUs, requestId, attemptNumber);
        }
        // The decision module ignores these events: it neither probes endpoints nor sends messages to other instances.
        if (parser.hasName("echo") || parser.hasName("memo")) {
            return () -> {};
        }
        throw parser.formatException("unknown event " + parser.name());
    }

    private void startInstance(String node) throws WireFormatException {
        LoadBalancerSettings settings = readSettings();
        long seed = parser.wholeNumber("initSeed");
        Map<String, Integer> classIndexes = new HashMap<>();
        settings.classes.forEach(requestClass -> classIndexes.put(requestClass.name(), classIndexes.size()));
        Map<String, Integer> tenantIndexes = new HashMap<>();
        settings.tenants.forEach(tenant -> tenantIndexes.put(tenant.name(), tenantIndexes.size()));
        Map<String, Integer> zoneIndexes = new HashMap<>();
        settings.zones.forEach(zone -> zoneIndexes.put(zone, zoneIndexes.size()));
        try {
            LoadBalancer balancer = new ServiceQLoadBalancer(settings, seed, writer);
            instances.put(node, new Instance(balancer, classIndexes, tenantIndexes, zoneIndexes));
        } catch (IllegalArgumentException e) {
            throw parser.formatException("boot: " + e.getMessage());
        }
    }

    private LoadBalancerSettings readSettings() throws WireFormatException {
        Map<String, String> values = new HashMap<>();
        for (int i = 0; i < parser.fieldCount(); i++) {
            values.put(parser.key(i), parser.value(i));
        }
        try {
            return SettingsParser.parse(values);
        } catch (ConfigurationException e) {
            throw parser.formatException(e.field(), e.description());
        }
    }

    private void readEndpointList() throws IOException, WireFormatException {
        int listNumber = readEndpointListNumber();
        long count = parser.wholeNumber("nodesList", 0);
        List<ListedEndpoint> entries = new ArrayList<>();
        for (long i = 0; i < count; i++) {
            readLineOfBatch();
            if (!parser.hasName("server")) {
                throw parser.formatException("a roster's line must be server, not " + parser.name());
            }
            String state = parser.text("lifecycle");
            entries.add(new ListedEndpoint(
                    parser.text("server"),
                    parser.textOrNull("site"),
                    (int) parser.wholeNumber("block", 0),
                    switch (state) {
                        case "Running" -> EndpointState.READY;
                        case "Stopping" -> EndpointState.DRAINING;
                        case "Deleted" -> EndpointState.REMOVED;
                        default -> throw parser.formatException("lifecycle", "is unknown: " + state);
                    },
                    parser.decimal("scale", 1),
                    parser.wholeNumber("sinceUs", 0)));
        }
        endpointLists.set(listNumber, entries);
    }

    private int readEndpointListNumber() throws WireFormatException {
        long number = parser.wholeNumber("setId");
        if (number < 0 || number >= MAX_ENDPOINT_LISTS) {
            throw parser.formatException("setId", "is not from 0 to " + (MAX_ENDPOINT_LISTS - 1));
        }
        return (int) number;
    }

    private Runnable translateEndpointList(Instance instance) throws WireFormatException {
        long eventUs = nowUs;
        String kind = parser.text("kind");
        if (kind.equals("broken")) {
            return () -> instance.loadBalancer.onEndpointListFailed(eventUs);
        }
        EndpointListKind listKind =
                switch (kind) {
                    case "patch" -> EndpointListKind.CHANGES;
                    case "whole" -> EndpointListKind.COMPLETE;
                    case "stale_copy" -> EndpointListKind.CACHED;
                    default -> throw parser.formatException("kind", "is unknown: " + kind);
                };
        List<ListedEndpoint> listed = endpointLists.get(readEndpointListNumber());
        if (listed == null) {
            throw parser.formatException("setId", "names a roster that was never given");
        }
        List<EndpointListEntry> entries = new ArrayList<>(listed.size());
        for (ListedEndpoint entry : listed) {
            entries.add(new EndpointListEntry(
                    entry.id,
                    instance.zoneIndexes.getOrDefault(entry.zone, -1),
                    entry.cell,
                    entry.state,
                    entry.weight,
                    entry.startedAtUs));
        }
        return () -> instance.loadBalancer.onEndpointList(eventUs, listKind, entries);
    }

    private int findIndex(Map<String, Integer> names, String field, String name) throws WireFormatException {
        Integer index = names.get(name);
        if (index == null) {
            throw parser.formatException(field, "is not in the settings: " + name);
        }
        return index;
    }

    private AttemptResult readAttemptResult() throws WireFormatException {
        long code = parser.wholeNumber("rc");
        return switch ((int) code) {
            case 10 -> AttemptResult.OK;
            case 20 -> AttemptResult.ERROR;
            case 30 -> AttemptResult.REJECTED;
            case 40 -> AttemptResult.TIMEOUT;
            case 50 -> AttemptResult.CONNECT_FAILED;
            case 60 -> AttemptResult.RESET;
            case 70 -> AttemptResult.CANCELLED;
            case 80 -> AttemptResult.NOT_SENT;
            default -> throw parser.formatException("rc", "is unknown: " + code);
        };
    }
}

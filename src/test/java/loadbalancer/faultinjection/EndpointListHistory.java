package loadbalancer.faultinjection;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** The versions of an endpoint list, each with one change and the time since which discovery has it. */
final class EndpointListHistory {
    /** The state of an endpoint in the list. */
    enum State {
        READY("Ready"),
        DRAINING("Terminating"),
        GONE("Gone");

        private final String wireName;

        State(String wireName) {
            this.wireName = wireName;
        }
    }

    /** A change of an endpoint's state, and the time since which discovery has it (nanoseconds of the monotonic clock). */
    record Change(String endpointId, State state, long atNanos) {}

    private final Map<String, String> addressesById = new LinkedHashMap<>();
    private final List<Change> changes = new ArrayList<>();

    /** Adds an endpoint that is ready in version 0. */
    synchronized void add(String endpointId, String address) {
        addressesById.put(endpointId, address);
    }

    /** Adds a version that discovery has from now on. */
    void change(String endpointId, State state) {
        change(endpointId, state, System.nanoTime());
    }

    /** Adds a version that discovery has from the given time on, which may be in the past. */
    synchronized void change(String endpointId, State state, long atNanos) {
        changes.add(new Change(endpointId, state, atNanos));
        notifyAll();
    }

    synchronized int version() {
        return changes.size();
    }

    /** Waits for a version later than the given one, up to a timeout, and returns the latest version. */
    synchronized int awaitAfter(int version, long timeoutMillis) throws InterruptedException {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        long remainingMillis = timeoutMillis;
        while (changes.size() <= version && remainingMillis > 0) {
            wait(remainingMillis);
            remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        }
        return changes.size();
    }

    synchronized List<Change> changes() {
        return List.copyOf(changes);
    }

    /** Returns the complete list of a version, with or without draining endpoints. */
    synchronized String completeList(int version, boolean includeDraining) {
        Map<String, State> states = new LinkedHashMap<>();
        addressesById.keySet().forEach(endpointId -> states.put(endpointId, State.READY));
        changes.subList(0, version).forEach(change -> states.put(change.endpointId, change.state));
        states.values().removeIf(state -> state == State.GONE || (!includeDraining && state != State.READY));
        return message(version, true, states);
    }

    /** Returns a list with only the changes after one version up to another. */
    synchronized String changesBetween(int from, int to) {
        Map<String, State> states = new LinkedHashMap<>();
        changes.subList(from, to).forEach(change -> states.put(change.endpointId, change.state));
        return message(to, false, states);
    }

    private String message(int version, boolean isComplete, Map<String, State> states) {
        List<String> targets = new ArrayList<>();
        states.forEach((endpointId, state) -> targets.add(("{\"uid\":\"%s\",\"endpoint\":\"%s\",\"az\":\"here\","
                        + "\"pod_group\":0,\"state\":\"%s\",\"capacity_hint\":1.0,\"boot_ms\":0}")
                .formatted(endpointId, addressesById.get(endpointId), state.wireName)));
        return "{\"rev\":%d,\"all\":%b,\"targets\":[%s]}".formatted(version, isComplete, String.join(",", targets));
    }
}

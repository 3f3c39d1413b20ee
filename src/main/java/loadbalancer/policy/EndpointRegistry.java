package loadbalancer.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.model.Endpoint;

/** The endpoints of the list with their states and incarnations, and removed ones with attempts in flight. */
final class EndpointRegistry {
    private final int classCount;
    private final OutlierDetector outlierDetector;
    private final Map<String, Endpoint> byId = new HashMap<>();
    private final List<Endpoint> listed = new ArrayList<>();
    /** Whether discovery has published a list or changes since this instance started; a cached list does not count. */
    private boolean listReceived;

    EndpointRegistry(LoadBalancerSettings settings, OutlierDetector outlierDetector) {
        classCount = settings.classes.size();
        this.outlierDetector = outlierDetector;
    }

    /** Returns the ready and the draining endpoints, in list order. */
    List<Endpoint> listed() {
        return listed;
    }

    /** Applies a complete endpoint list or changes of the list. */
    void update(EndpointListKind kind, List<EndpointListEntry> entries, long nowUs) {
        if (kind != EndpointListKind.CHANGES) {
            listed.forEach(Endpoint::markRemoved);
            listed.clear();
        }
        for (EndpointListEntry entry : entries) {
            update(entry, nowUs);
        }
        listReceived |= kind != EndpointListKind.CACHED;
    }

    private void update(EndpointListEntry entry, long nowUs) {
        Endpoint endpoint = byId.computeIfAbsent(entry.id(), id -> new Endpoint(id, classCount));
        if (entry.state() == EndpointState.REMOVED) {
            listed.remove(endpoint);
        } else if (endpoint.state() == EndpointState.REMOVED) {
            listed.add(endpoint);
        }
        if (entry.startedAtUs() != 0 && entry.startedAtUs() != endpoint.incarnationStartedAtUs()) {
            // The history and the limit of an earlier incarnation do not apply to the new one.
            outlierDetector.resetHistory(endpoint);
            endpoint.concurrency().resetLimit();
            endpoint.startIncarnation(entry.startedAtUs(), warmingUpSinceUs(entry, nowUs));
        }
        endpoint.update(entry);
    }

    /**
     * Returns the time from which a new incarnation counts as warming up. If a list after the first one from discovery
     * reports the incarnation, that is the current time: wall clocks may be stepped, so the start time in the list may
     * be wrong by any amount. The cached list and the first list report incarnations that started before this instance,
     * for which only the start time in the list is known. A start time in the future is replaced by the current time.
     */
    private long warmingUpSinceUs(EndpointListEntry entry, long nowUs) {
        return listReceived ? nowUs : Math.min(nowUs, entry.startedAtUs());
    }

    /**
     * Drops removed endpoints that have no attempts in flight. Discovery adds and removes endpoints for as long as this
     * instance runs, so that keeping all of them would let memory grow without limit.
     */
    void forgetRemoved() {
        byId.values()
                .removeIf(endpoint -> endpoint.state() == EndpointState.REMOVED
                        && endpoint.concurrency().inFlight() == 0);
    }

    /** Returns the number of known endpoints, including removed ones that still have attempts in flight. */
    int size() {
        return byId.size();
    }
}

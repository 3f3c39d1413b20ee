package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

import loadbalancer.policy.log.EndpointEjected;
import loadbalancer.policy.log.EndpointRestored;
import loadbalancer.policy.log.PolicyEvent;

/** A decision module for tests, with a simulated clock and timers, that records the actions that the module takes. */
final class LoadBalancerFixture implements LoadBalancerActions {
    /** Index of the class of idempotent requests. */
    public static final int IDEMPOTENT = 0;

    /** Index of the class whose idempotency keys all endpoints deduplicate together. */
    public static final int KEY_DEDUPLICATED_EVERYWHERE = 1;

    /** Index of the class whose idempotency keys the endpoints of a zone deduplicate together. */
    public static final int KEY_DEDUPLICATED_IN_ZONE = 2;

    /** Index of the class whose idempotency keys the endpoints of a cell deduplicate together. */
    public static final int KEY_DEDUPLICATED_IN_CELL = 3;

    /** Index of the class of requests that must not be executed twice. */
    public static final int NON_IDEMPOTENT = 4;

    private static final long DEFAULT_SEED = 7;
    private static final long DEFAULT_REMAINING_US = 1_000_000;

    /** An attempt that the module has started. */
    public record StartedAttempt(long startedAtUs, long requestId, int number, String endpointId, long deadlineUs) {}

    public final LoadBalancerSettings settings;
    public final List<StartedAttempt> startedAttempts = new ArrayList<>();
    public final List<Long> rejected = new ArrayList<>();
    public final List<Long> failed = new ArrayList<>();
    public final List<String> cancelled = new ArrayList<>();
    public final List<PolicyEvent> events = new ArrayList<>();
    public final List<String> closedEndpoints = new ArrayList<>();
    public int watchCount;
    public long nowUs = 1_000_000;
    public final LoadBalancer loadBalancer;
    private final List<Long> timers = new ArrayList<>();
    private long nextId = 1;

    LoadBalancerFixture(LoadBalancerSettings settings, long seed) {
        this.settings = settings;
        loadBalancer = new ServiceQLoadBalancer(settings, seed, this);
    }

    LoadBalancerFixture() {
        this(settings(), DEFAULT_SEED);
    }

    /**
     * Returns settings with two zones, the classes that the constants name, one tenant without a quota, and hedging and
     * cancellation enabled.
     */
    public static LoadBalancerSettings settings() {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.zones.add("local");
        settings.zones.add("remote");
        settings.classes.add(requestClass("idempotent", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        settings.classes.add(
                requestClass("key-deduplicated-everywhere", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ALL));
        settings.classes.add(
                requestClass("key-deduplicated-in-zone", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.ZONE));
        settings.classes.add(
                requestClass("key-deduplicated-in-cell", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL));
        settings.classes.add(requestClass("non-idempotent", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
        settings.tenants.add(new Tenant("tenant", 0));
        settings.maxAttempts = 4;
        settings.hedgingEnabled = true;
        settings.cancellationEnabled = true;
        return settings;
    }

    private static RequestClass requestClass(String name, Idempotency idempotency, DeduplicationScope scope) {
        return new RequestClass(name, 200_000, 0, 1_000_000, 1, 0, idempotency, scope, 400_000, false);
    }

    /** Returns a list entry of an endpoint in the local zone that is ready and not warming up. */
    public static EndpointListEntry readyEndpoint(String id) {
        return new EndpointListEntry(id, 0, 0, EndpointState.READY, 1, 0);
    }

    /** Reports a cached list of endpoints s0, s1, ... in one zone and cell that are ready and not warming up. */
    public LoadBalancerFixture withEndpoints(int count) {
        List<EndpointListEntry> entries = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            entries.add(readyEndpoint("s" + i));
        }
        return receiveEndpointList(EndpointListKind.CACHED, entries);
    }

    /** Reports an endpoint list or changes of it to the module. */
    public LoadBalancerFixture receiveEndpointList(EndpointListKind kind, List<EndpointListEntry> entries) {
        loadBalancer.onEndpointList(nowUs, kind, entries);
        return this;
    }

    /** Sends a request of the first tenant that has one second left, and returns its id. */
    public long sendRequest(int classIndex) {
        return sendRequest(classIndex, DEFAULT_REMAINING_US);
    }

    /** Sends a request of the first tenant and returns its id. */
    public long sendRequest(int classIndex, long remainingUs) {
        return sendRequest(classIndex, 0, remainingUs);
    }

    /** Sends a request without a key and returns its id. */
    public long sendRequest(int classIndex, int tenant, long remainingUs) {
        long id = nextId++;
        loadBalancer.onRequest(nowUs, new Request(id, classIndex, tenant, remainingUs, 0, false, null));
        return id;
    }

    /** Sends a request with a key for key affinity that has one second left, and returns its id. */
    public long sendRequestWithKey(String key, int classIndex) {
        long id = nextId++;
        loadBalancer.onRequest(nowUs, new Request(id, classIndex, 0, DEFAULT_REMAINING_US, 0, false, key));
        return id;
    }

    /** Returns the newest attempt of a request, or null if there is none. */
    public StartedAttempt lastAttempt(long requestId) {
        for (int i = startedAttempts.size() - 1; i >= 0; i--) {
            if (startedAttempts.get(i).requestId == requestId) {
                return startedAttempts.get(i);
            }
        }
        return null;
    }

    /** Returns how many attempts of a request have been started. */
    public int attemptCount(long requestId) {
        return (int) startedAttempts.stream()
                .filter(attempt -> attempt.requestId == requestId)
                .count();
    }

    /** Returns how many attempts have been started at an endpoint. */
    public long attemptCountAt(String endpointId) {
        return startedAttempts.stream()
                .filter(attempt -> attempt.endpointId.equals(endpointId))
                .count();
    }

    /** Advances the clock, then ends the newest attempt of a request; a success also ends the request. */
    public void completeLastAttempt(long requestId, AttemptResult result, long afterUs) {
        advance(afterUs);
        StartedAttempt attempt = lastAttempt(requestId);
        loadBalancer.onAttemptOutcome(
                nowUs,
                new AttemptOutcome(
                        requestId,
                        attempt.number,
                        result,
                        nowUs - attempt.startedAtUs,
                        result == AttemptResult.OK,
                        null));
    }

    /** Sends a request, ends its first attempt after some time, and returns the id of that endpoint. */
    public String sendAndComplete(int classIndex, AttemptResult result, long afterUs) {
        long id = sendRequest(classIndex);
        String endpointId = lastAttempt(id).endpointId;
        completeLastAttempt(id, result, afterUs);
        return endpointId;
    }

    /** Advances the clock and fires the timers that come due. */
    public void advance(long durationUs) {
        long untilUs = nowUs + durationUs;
        while (true) {
            long nextUs = timers.stream().mapToLong(atUs -> atUs).min().orElse(Long.MAX_VALUE);
            if (nextUs > untilUs) {
                break;
            }
            timers.remove(nextUs);
            nowUs = Math.max(nowUs, nextUs);
            loadBalancer.onTimer(nowUs);
        }
        nowUs = untilUs;
    }

    @Override
    public void startAttempt(long requestId, String endpointId, long deadlineUs) {
        startedAttempts.add(new StartedAttempt(nowUs, requestId, attemptCount(requestId), endpointId, deadlineUs));
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        cancelled.add(requestId + "/" + attemptNumber);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void setTimer(long atUs) {
        timers.add(atUs);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        closedEndpoints.add(endpointId);
    }

    @Override
    public void watchEndpointList() {
        watchCount++;
    }

    @Override
    public void record(PolicyEvent event) {
        events.add(event);
    }

    /** Returns whether an endpoint was ever ejected, for all classes or for one. */
    boolean hasEjected(String endpointId) {
        return events.stream()
                .anyMatch(event -> event instanceof EndpointEjected ejected
                        && ejected.endpointId().equals(endpointId));
    }

    /** Returns whether an endpoint was ever restored, for all classes or for one. */
    boolean hasRestored(String endpointId) {
        return events.stream()
                .anyMatch(event -> event instanceof EndpointRestored restored
                        && restored.endpointId().equals(endpointId));
    }
}

package loadbalancer.policy;

import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;

/** Factory methods for the settings, requests and endpoints of unit tests of the decision module's classes. */
public final class PolicyTestObjects {
    /** Index of the class of idempotent requests, with objective 200 ms, deadline 1 s and priority weight 1. */
    public static final int IDEMPOTENT = LoadBalancerFixture.IDEMPOTENT;

    /** Index of a similar class whose idempotency keys all endpoints deduplicate together for 400 ms. */
    public static final int KEY_DEDUPLICATED_EVERYWHERE = LoadBalancerFixture.KEY_DEDUPLICATED_EVERYWHERE;

    /** Index of a similar class whose idempotency keys the endpoints of a zone deduplicate together for 400 ms. */
    public static final int KEY_DEDUPLICATED_IN_ZONE = LoadBalancerFixture.KEY_DEDUPLICATED_IN_ZONE;

    /** Index of a similar class whose idempotency keys the endpoints of a cell deduplicate together for 400 ms. */
    public static final int KEY_DEDUPLICATED_IN_CELL = LoadBalancerFixture.KEY_DEDUPLICATED_IN_CELL;

    /** Index of a similar class of requests that must not be executed twice. */
    public static final int NON_IDEMPOTENT = LoadBalancerFixture.NON_IDEMPOTENT;

    private static long nextRequestId = 1;

    private PolicyTestObjects() {}

    /** Returns settings with two zones, the classes that the constants name, and one tenant without a quota. */
    public static LoadBalancerSettings settings() {
        return LoadBalancerFixture.settings();
    }

    /** Replaces a class by one that differs only in the priority factor of late responses. */
    public static void setLatePriorityFactor(LoadBalancerSettings settings, int classIndex, double factor) {
        RequestClass before = settings.classes.get(classIndex);
        settings.classes.set(
                classIndex,
                new RequestClass(
                        before.name(),
                        before.latencyObjectiveUs(),
                        before.latencyObjectiveWorkFactor(),
                        before.deadlineUs(),
                        before.priorityWeight(),
                        factor,
                        before.idempotency(),
                        before.deduplicationScope(),
                        before.deduplicationWindowUs(),
                        before.isStreaming()));
    }

    /** Returns a request of the only tenant that has no key and one second left. */
    public static PendingRequest request(LoadBalancerSettings settings, int classIndex, long nowUs) {
        return request(settings, classIndex, null, nowUs);
    }

    /** Returns a request of the only tenant that has one second left; the key may be null. */
    public static PendingRequest request(LoadBalancerSettings settings, int classIndex, String key, long nowUs) {
        return new PendingRequest(
                new Request(nextRequestId++, classIndex, 0, 1_000_000, 0, false, key), settings, nowUs);
    }

    /** Returns a ready endpoint in the first zone and cell that is not active yet. */
    public static Endpoint endpoint(LoadBalancerSettings settings, String id) {
        return endpoint(settings, id, 0, 0);
    }

    /** Returns a ready endpoint that is not active yet. */
    public static Endpoint endpoint(LoadBalancerSettings settings, String id, int zone, int cell) {
        Endpoint endpoint = new Endpoint(id, settings.classes.size());
        endpoint.update(new EndpointListEntry(id, zone, cell, EndpointState.READY, 1, 0));
        return endpoint;
    }

    /** Returns active endpoints e0, e1, ... in the first zone and cell. */
    public static Endpoint[] activeEndpoints(LoadBalancerSettings settings, int count) {
        Endpoint[] endpoints = new Endpoint[count];
        for (int i = 0; i < count; i++) {
            endpoints[i] = endpoint(settings, "e" + i);
            endpoints[i].activate(i);
        }
        return endpoints;
    }
}

package loadbalancer.policy.selection;

import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import java.util.Set;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;

/** Tests the picks of {@link EndpointPicker}: at random, in list order, by zone and by key. */
class EndpointPickerTest {
    private static final long NOW_US = 1_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final Set<Endpoint> notPermitted = new HashSet<>();

    private EndpointPicker picker(Endpoint[] active, long seed) {
        EndpointPicker picker = new EndpointPicker(
                settings, new SplittableRandom(seed), (request, endpoint, nowUs) -> !notPermitted.contains(endpoint));
        picker.setActiveEndpoints(active);
        return picker;
    }

    private Endpoint[] endpoints(int count) {
        return PolicyTestObjects.activeEndpoints(settings, count);
    }

    private PendingRequest request() {
        return PolicyTestObjects.request(settings, PolicyTestObjects.IDEMPOTENT, NOW_US);
    }

    private PendingRequest requestWithKey(String key) {
        return PolicyTestObjects.request(settings, PolicyTestObjects.IDEMPOTENT, key, NOW_US);
    }

    @Test
    void nothingIsPickedWithoutEndpoints() {
        assertNull(picker(new Endpoint[0], 1).pick(request(), NOW_US));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void theEndpointWithFewerRequestsInFlightIsPicked(long seed) {
        Endpoint[] active = endpoints(2);
        active[0].concurrency().incrementInFlight();
        assertSame(active[1], picker(active, seed).pick(request(), NOW_US));
    }

    @Test
    void endpointsThatAreNotPermittedAreNotPicked() {
        Endpoint[] active = endpoints(3);
        notPermitted.add(active[0]);
        notPermitted.add(active[2]);
        assertSame(active[1], picker(active, 1).pick(request(), NOW_US));
        notPermitted.add(active[1]);
        assertNull(picker(active, 1).pick(request(), NOW_US));
    }

    @Test
    void aRetryPicksTheNextUntriedEndpointInListOrder() {
        Endpoint[] active = endpoints(4);
        EndpointPicker picker = picker(active, 1);
        PendingRequest request = request();
        request.startAttempt(active[2], NOW_US);
        assertSame(active[3], picker.pickForRetry(request, active[2], NOW_US));
        notPermitted.add(active[3]);
        assertSame(active[0], picker.pickForRetry(request, active[2], NOW_US));
        request.startAttempt(active[0], NOW_US);
        assertSame(active[1], picker.pickForRetry(request, active[0], NOW_US));
        request.startAttempt(active[1], NOW_US);
        assertNull(picker.pickForRetry(request, active[1], NOW_US));
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void localEndpointsArePickedIfCrossingZonesHasACost(long seed) {
        settings.crossZoneCost = 0.1;
        Endpoint[] active = endpointsInZones(0, 1, 1, 1);
        assertSame(active[0], picker(active, seed).pick(request(), NOW_US));
    }

    @Test
    void aRemoteEndpointWithTwoFewerRequestsInFlightIsPicked() {
        settings.crossZoneCost = 0.1;
        Endpoint[] active = endpointsInZones(0, 1);
        active[0].concurrency().incrementInFlight();
        assertSame(active[0], picker(active, 1).pick(request(), NOW_US));
        active[0].concurrency().incrementInFlight();
        assertSame(active[1], picker(active, 1).pick(request(), NOW_US));
    }

    @Test
    void aRemoteEndpointIsPickedIfNoLocalOneIsPermitted() {
        settings.crossZoneCost = 0.1;
        Endpoint[] active = endpointsInZones(0, 1);
        notPermitted.add(active[0]);
        assertSame(active[1], picker(active, 1).pick(request(), NOW_US));
    }

    private Endpoint[] endpointsInZones(int... zones) {
        Endpoint[] active = new Endpoint[zones.length];
        for (int i = 0; i < zones.length; i++) {
            active[i] = PolicyTestObjects.endpoint(settings, "e" + i, zones[i], 0);
            active[i].activate(i);
        }
        return active;
    }

    @Test
    void allInstancesPickTheSameEndpointForAKey() {
        settings.endpointsCacheKeys = true;
        Endpoint[] active = endpoints(10);
        for (int i = 0; i < 20; i++) {
            Endpoint picked = picker(active, 1).pick(requestWithKey("key-" + i), NOW_US);
            assertSame(picked, picker(active, 2).pick(requestWithKey("key-" + i), NOW_US));
        }
    }

    @Test
    void theSecondPickOfAKeyIsUsedWhileTheFirstHasMoreRequestsInFlight() {
        settings.endpointsCacheKeys = true;
        Endpoint[] active = endpoints(10);
        EndpointPicker picker = picker(active, 1);
        Endpoint first = picker.pick(requestWithKey("key"), NOW_US);
        first.concurrency().incrementInFlight();
        Endpoint second = picker.pick(requestWithKey("key"), NOW_US);
        assertNotSame(first, second);
        second.concurrency().incrementInFlight();
        assertSame(first, picker.pick(requestWithKey("key"), NOW_US));
    }

    @Test
    void aRetryOfARequestKnownNotExecutedFollowsThePicksOfItsKey() {
        settings.endpointsCacheKeys = true;
        Endpoint[] active = endpoints(10);
        EndpointPicker picker = picker(active, 1);
        PendingRequest request = requestWithKey("key");
        Endpoint first = picker.pick(request, NOW_US);
        request.endAttempt(request.startAttempt(first, NOW_US), AttemptResult.REJECTED);
        Endpoint second = picker.pickForRetry(request, first, NOW_US);
        first.concurrency().incrementInFlight();
        assertSame(picker.pick(requestWithKey("key"), NOW_US), second);
    }

    @Test
    void aKeyHasAtMostEightEndpoints() {
        settings.endpointsCacheKeys = true;
        Endpoint[] active = endpoints(50);
        EndpointPicker picker = picker(active, 1);
        Endpoint picked = picker.pick(requestWithKey("key"), NOW_US);
        int endpointsOfKey = 0;
        while (picked != null) {
            endpointsOfKey++;
            notPermitted.add(picked);
            picked = picker.pick(requestWithKey("key"), NOW_US);
        }
        assertTrue(endpointsOfKey <= 8, "endpoints of a key: " + endpointsOfKey);
    }
}

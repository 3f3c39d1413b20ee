package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.health.OutlierDetector;
import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;

/** Tests how {@link EndpointRegistry} applies endpoint lists and detects new incarnations. */
class EndpointRegistryTest implements OutlierDetector.Listener {
    private static final long NOW_US = 1_000_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final EndpointRegistry registry = new EndpointRegistry(
            settings,
            new OutlierDetector(
                    settings,
                    new EndpointSharing(1),
                    new SplittableRandom(1),
                    new DecisionLog(new RecordingActions()),
                    this));

    @Override
    public void onErrorCountChanged() {}

    @Override
    public void onEjectionsChanged() {}

    private static EndpointListEntry entry(String id, EndpointState state, long startedAtUs) {
        return new EndpointListEntry(id, 0, 0, state, 1, startedAtUs);
    }

    private static EndpointListEntry ready(String id) {
        return entry(id, EndpointState.READY, 0);
    }

    private List<String> listedIds() {
        return registry.listed().stream().map(Endpoint::id).toList();
    }

    private void update(EndpointListKind kind, EndpointListEntry... entries) {
        registry.update(kind, List.of(entries), NOW_US);
    }

    @Test
    void changesAddAndRemoveEndpointsInListOrder() {
        update(EndpointListKind.COMPLETE, ready("a"), ready("b"));
        update(EndpointListKind.CHANGES, ready("c"), entry("a", EndpointState.REMOVED, 0));
        assertEquals(List.of("b", "c"), listedIds());
        update(EndpointListKind.CHANGES, ready("a"));
        assertEquals(List.of("b", "c", "a"), listedIds());
    }

    @Test
    void drainingEndpointsStayListed() {
        update(EndpointListKind.COMPLETE, ready("a"));
        update(EndpointListKind.CHANGES, entry("a", EndpointState.DRAINING, 0));
        assertEquals(List.of("a"), listedIds());
        assertEquals(EndpointState.DRAINING, registry.listed().get(0).state());
    }

    @Test
    void aCompleteListRemovesMissingEndpointsAndKeepsTheStateOfListedOnes() {
        update(EndpointListKind.COMPLETE, ready("a"), ready("b"));
        Endpoint removed = registry.listed().get(0);
        Endpoint kept = registry.listed().get(1);
        update(EndpointListKind.COMPLETE, ready("c"), ready("b"));
        assertEquals(List.of("c", "b"), listedIds());
        assertSame(kept, registry.listed().get(1));
        assertEquals(EndpointState.REMOVED, removed.state());
    }

    @Test
    void removedEndpointsAreForgottenOnceTheyHaveNoAttemptInFlight() {
        update(EndpointListKind.COMPLETE, ready("a"), ready("b"));
        Endpoint busy = registry.listed().get(0);
        busy.concurrency().incrementInFlight();
        update(EndpointListKind.COMPLETE);
        registry.forgetRemoved();
        assertEquals(1, registry.size());
        busy.concurrency().decrementInFlight();
        registry.forgetRemoved();
        assertEquals(0, registry.size());
        update(EndpointListKind.CHANGES, ready("a"));
        assertNotSame(busy, registry.listed().get(0));
    }

    @Test
    void aNewIncarnationStartsWithoutErrorsEjectionAndLimit() {
        update(EndpointListKind.COMPLETE, entry("a", EndpointState.READY, 500));
        Endpoint endpoint = registry.listed().get(0);
        endpoint.setErrorCount(3);
        endpoint.health().eject(1, 1);
        endpoint.concurrency().setLimit(7);
        update(EndpointListKind.CHANGES, entry("a", EndpointState.READY, 500));
        assertEquals(3, endpoint.errorCount());
        assertEquals(7, endpoint.concurrency().limit());
        update(EndpointListKind.CHANGES, entry("a", EndpointState.READY, 600));
        assertEquals(0, endpoint.errorCount());
        assertEquals(0, endpoint.concurrency().limit());
        assertFalse(endpoint.health().isEjected());
        assertEquals(600, endpoint.incarnationStartedAtUs());
    }

    @Test
    void warmingUpStartsAtTheListedStartTimeInTheFirstListsButNotInTheFuture() {
        update(
                EndpointListKind.CACHED,
                entry("past", EndpointState.READY, NOW_US - 300),
                entry("future", EndpointState.READY, NOW_US + 300));
        assertEquals(NOW_US - 300, registry.listed().get(0).warmingUpSinceUs());
        assertEquals(NOW_US, registry.listed().get(1).warmingUpSinceUs());
        update(EndpointListKind.COMPLETE, entry("restarted", EndpointState.READY, NOW_US - 200));
        assertEquals(NOW_US - 200, registry.listed().get(0).warmingUpSinceUs());
    }

    @Test
    void warmingUpStartsAtTheNotificationInALaterList() {
        update(EndpointListKind.COMPLETE, ready("a"));
        update(EndpointListKind.CHANGES, entry("a", EndpointState.READY, NOW_US - 300));
        assertEquals(NOW_US, registry.listed().get(0).warmingUpSinceUs());
    }

    @Test
    void anEntryWithoutAStartTimeDoesNotBeginANewIncarnation() {
        update(EndpointListKind.COMPLETE, entry("a", EndpointState.READY, 500));
        update(EndpointListKind.CHANGES, ready("a"));
        assertEquals(500, registry.listed().get(0).incarnationStartedAtUs());
    }
}

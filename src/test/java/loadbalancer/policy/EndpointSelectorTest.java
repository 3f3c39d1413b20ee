package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;

/** Tests at which endpoints {@link EndpointSelector} allows attempts, and when it selects one for probation. */
class EndpointSelectorTest {
    private static final long NOW_US = DecisionModuleParts.NOW_US;

    private final DecisionModuleParts parts = new DecisionModuleParts();
    private final Endpoint[] endpoints = parts.activateEndpoints("a", "b");
    private final Endpoint endpoint = endpoints[0];
    private final PendingRequest request = parts.request(PolicyTestObjects.IDEMPOTENT);

    private boolean mayAttempt() {
        return parts.filter.mayAttemptAt(request, endpoint, NOW_US);
    }

    @Test
    void anAttemptMayBeMadeAtAReadyEndpoint() {
        assertTrue(mayAttempt());
    }

    @Test
    void noAttemptIsMadeAtADrainingEndpoint() {
        endpoint.update(new EndpointListEntry("a", 0, 0, EndpointState.DRAINING, 1, 0));
        assertFalse(mayAttempt());
    }

    @Test
    void noAttemptIsMadeAtAnEndpointEjectedForTheClassOfTheRequest() {
        endpoint.healthOf(PolicyTestObjects.IDEMPOTENT).eject(1, 1);
        assertFalse(mayAttempt());
        assertTrue(parts.filter.mayAttemptAt(parts.request(PolicyTestObjects.NON_IDEMPOTENT), endpoint, NOW_US));
    }

    @Test
    void noAttemptIsMadeAtAnEndpointWithoutCapacity() {
        endpoint.concurrency().setLimit(1);
        endpoint.concurrency().incrementInFlight();
        assertFalse(mayAttempt());
        assertTrue(parts.filter.isPermitted(request, endpoint, NOW_US));
    }

    @Test
    void noAttemptIsMadeBeforeSlowStartAllowsIt() {
        endpoint.startIncarnation(NOW_US, NOW_US);
        endpoint.setLastAttemptAtUs(NOW_US);
        assertFalse(mayAttempt());
    }

    @Test
    void noAttemptIsMadeOutsideTheDeduplicationScope() {
        PendingRequest executedInOtherCell = parts.request(PolicyTestObjects.KEY_DEDUPLICATED_IN_CELL);
        executedInOtherCell.startAttempt(PolicyTestObjects.endpoint(parts.settings, "c", 0, 1), NOW_US);
        assertFalse(parts.filter.mayAttemptAt(executedInOtherCell, endpoint, NOW_US));
    }

    @Test
    void anEjectedEndpointIsSelectedOnceItsProbationIsDue() {
        parts.eject(endpoint);
        long probationAtUs = endpoint.health().probationAtUs();
        assertSame(endpoints[1], parts.selector.selectEndpoint(request, probationAtUs - 1));
        assertSame(endpoint, parts.selector.selectEndpoint(request, probationAtUs));
    }

    @Test
    void retriesAreNotUsedForProbation() {
        parts.eject(endpoint);
        long probationAtUs = endpoint.health().probationAtUs();
        request.startAttempt(endpoints[1], NOW_US);
        assertNull(parts.selector.selectRetryEndpoint(request, endpoints[1], probationAtUs));
    }
}

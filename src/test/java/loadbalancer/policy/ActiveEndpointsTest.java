package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.model.Endpoint;

/** Tests which endpoints {@link ActiveEndpoints} uses, and when it closes connections to the others. */
class ActiveEndpointsTest {
    private final DecisionModuleParts parts = new DecisionModuleParts();
    private final Endpoint[] endpoints = parts.activateEndpoints("a", "b", "c");

    private void update(Endpoint... listed) {
        parts.activeEndpoints.update(List.of(listed), DecisionModuleParts.NOW_US);
    }

    private static void drain(Endpoint endpoint) {
        endpoint.update(new EndpointListEntry(endpoint.id(), 0, 0, EndpointState.DRAINING, 1, 0));
    }

    @Test
    void activeEndpointsGetAPositionAndAnInitialLimit() {
        for (int i = 0; i < endpoints.length; i++) {
            assertTrue(endpoints[i].isActive());
            assertEquals(i, endpoints[i].activeIndex());
            assertEquals(4, endpoints[i].concurrency().limit());
        }
    }

    @Test
    void drainingEndpointsAreNotActive() {
        drain(endpoints[1]);
        update(endpoints);
        assertFalse(endpoints[1].isActive());
        assertEquals(1, endpoints[2].activeIndex());
    }

    @Test
    void connectionsToEndpointsNoLongerUsedAreClosed() {
        drain(endpoints[0]);
        update(endpoints[0], endpoints[2]);
        assertEquals(List.of("a", "b"), parts.actions.closedEndpoints);
    }

    @Test
    void connectionsStayOpenUntilNoAttemptIsInFlight() {
        endpoints[0].concurrency().incrementInFlight();
        update(endpoints[1], endpoints[2]);
        assertEquals(List.of(), parts.actions.closedEndpoints);
        endpoints[0].concurrency().decrementInFlight();
        parts.activeEndpoints.closeIfUnused(endpoints[0]);
        assertEquals(List.of("a"), parts.actions.closedEndpoints);
    }

    @Test
    void connectionsToActiveEndpointsStayOpen() {
        parts.activeEndpoints.closeIfUnused(endpoints[0]);
        assertEquals(List.of(), parts.actions.closedEndpoints);
    }

    @Test
    void outlierDetectionForgetsEjectedEndpointsThatAreNoLongerActive() {
        parts.eject(endpoints[0]);
        assertTrue(parts.outlierDetector.hasEjectedEndpoints());
        update(endpoints[1], endpoints[2]);
        assertFalse(parts.outlierDetector.hasEjectedEndpoints());
    }
}

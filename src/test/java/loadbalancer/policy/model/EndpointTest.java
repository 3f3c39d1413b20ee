package loadbalancer.policy.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests for the hash, availability and incarnations of an {@link Endpoint}. */
class EndpointTest {
    private final Endpoint endpoint = new Endpoint("10.0.0.1:80", 2);

    @Test
    void theHashDependsOnTheIdOnly() {
        assertEquals(endpoint.hash(), new Endpoint("10.0.0.1:80", 5).hash());
        assertNotEquals(endpoint.hash(), new Endpoint("10.0.0.2:80", 2).hash());
    }

    @Test
    void onlyAnActiveEndpointThatIsNotEjectedIsAvailable() {
        assertFalse(endpoint.isAvailable());
        endpoint.activate(3);
        assertTrue(endpoint.isAvailable());
        endpoint.health().eject(1, 1);
        assertFalse(endpoint.isAvailable());
        endpoint.health().reset();
        endpoint.deactivate();
        assertFalse(endpoint.isAvailable());
    }

    @Test
    void anEjectionForOneClassDoesNotAffectTheOthers() {
        endpoint.activate(0);
        endpoint.healthOf(1).eject(1, 1);
        assertFalse(endpoint.isEjectedFor(0));
        assertTrue(endpoint.isEjectedFor(1));
        assertTrue(endpoint.isEjectedForAnyClass());
        assertTrue(endpoint.isAvailable());
    }

    @Test
    void anEjectionForAllClassesAppliesToEachClass() {
        endpoint.health().eject(1, 1);
        assertTrue(endpoint.isEjectedFor(0));
        assertTrue(endpoint.isEjectedFor(1));
        assertTrue(endpoint.isEjectedForAnyClass());
    }

    @Test
    void aNewIncarnationHasHadNoAttempts() {
        endpoint.setLastAttemptAtUs(700);
        endpoint.startIncarnation(500, 900);
        assertEquals(500, endpoint.incarnationStartedAtUs());
        assertEquals(900, endpoint.warmingUpSinceUs());
        assertEquals(0, endpoint.lastAttemptAtUs());
    }
}

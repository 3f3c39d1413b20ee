package loadbalancer.policy.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests for the recent results and the ejection state in {@link EndpointHealth}. */
class EndpointHealthTest {
    private final EndpointHealth health = new EndpointHealth();

    @Test
    void onlyTheLastSixteenResultsCount() {
        for (int i = 0; i < 3; i++) {
            health.recordFailure();
        }
        for (int i = 0; i < 14; i++) {
            health.recordSuccess(1);
        }
        assertEquals(2, health.recentFailures());
        health.recordSuccess(1);
        health.recordSuccess(1);
        assertEquals(0, health.recentFailures());
    }

    @Test
    void probationSuccessesCountOnlyWhileEjectedAndInARow() {
        health.recordSuccess(1);
        assertEquals(0, health.probationSuccesses());
        health.eject(100, 200);
        health.recordSuccess(2);
        health.recordSuccess(3);
        assertEquals(2, health.probationSuccesses());
        health.recordFailure();
        assertEquals(0, health.probationSuccesses());
    }

    @Test
    void afterASuccessTheNextProbationAttemptMayFollowAtOnce() {
        health.eject(250_000, 1_300_000);
        assertEquals(1_300_000, health.probationAtUs());
        assertEquals(250_000, health.ejectionDurationUs());
        health.recordSuccess(1_310_000);
        assertEquals(1_310_000, health.probationAtUs());
        assertEquals(1_310_000, health.lastSuccessAtUs());
        assertTrue(health.isEjected());
    }

    @Test
    void aResetEndsAnEjectionAndDiscardsFailures() {
        health.recordFailure();
        health.eject(100, 200);
        health.recordSuccess(1);
        health.reset();
        assertFalse(health.isEjected());
        assertEquals(0, health.recentFailures());
        assertEquals(0, health.probationSuccesses());
    }

    @Test
    void aResponseDoesNotCountAsASuccess() {
        health.recordResponse(7);
        assertEquals(7, health.lastResponseAtUs());
        assertEquals(0, health.lastSuccessAtUs());
    }
}

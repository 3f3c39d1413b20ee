package loadbalancer.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.RecordingActions;
import loadbalancer.policy.log.DecisionLog;
import loadbalancer.policy.log.EndpointEjected;
import loadbalancer.policy.log.EndpointRestored;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;
import loadbalancer.policy.model.PendingRequest;

/** Tests error counts, ejection, probation and restoration by {@link OutlierDetector}. */
class OutlierDetectorTest implements OutlierDetector.Listener {
    private static final long SEED = 3;
    private static final long NOW_US = 10_000_000;

    /** The minimum of four, and one more because these failures themselves raise the common failure rate. */
    private static final int FAILURES_TO_EJECT = 5;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final RecordingActions actions = new RecordingActions();
    private final EndpointSharing sharing = new EndpointSharing(1);
    private final OutlierDetector detector =
            new OutlierDetector(settings, sharing, new SplittableRandom(SEED), new DecisionLog(actions), this);
    private final Endpoint[] active = PolicyTestObjects.activeEndpoints(settings, 4);
    private final Endpoint endpoint = active[0];
    private int errorCountChanges;

    @BeforeEach
    void activateAllEndpoints() {
        detector.refreshEjectedEndpoints(active);
    }

    @Override
    public void onErrorCountChanged() {
        errorCountChanges++;
    }

    @Override
    public void onEjectionsChanged() {
        detector.refreshEjectedEndpoints(active);
    }

    private void fail(Endpoint failing, int classIndex, int times) {
        for (int i = 0; i < times; i++) {
            detector.onFailure(failing, classIndex, true, NOW_US);
        }
    }

    private void succeed(boolean isSlow, int times, long nowUs) {
        for (int i = 0; i < times; i++) {
            detector.onSuccess(endpoint, 0, isSlow, nowUs);
        }
    }

    private PendingRequest request(int classIndex) {
        return PolicyTestObjects.request(settings, classIndex, NOW_US);
    }

    @Test
    void failuresCountAsErrorsUntilASuccess() {
        fail(endpoint, 0, 2);
        assertEquals(2, endpoint.errorCount());
        succeed(false, 1, NOW_US);
        assertEquals(0, endpoint.errorCount());
        assertEquals(3, errorCountChanges);
    }

    @Test
    void aQuickSuccessRemovesOneErrorIfManyInstancesShareAnEndpoint() {
        sharing.setInstancesPerEndpoint(24);
        fail(endpoint, 0, 3);
        succeed(false, 1, NOW_US);
        assertEquals(2, endpoint.errorCount());
    }

    @Test
    void slowSuccessesAddUpToEightErrorsIfManyInstancesShareAnEndpoint() {
        sharing.setInstancesPerEndpoint(24);
        succeed(true, 1, NOW_US);
        assertEquals(1, endpoint.errorCount());
        succeed(true, 20, NOW_US);
        assertEquals(8, endpoint.errorCount());
    }

    @Test
    void repeatedFailuresEjectAnEndpoint() {
        fail(endpoint, 0, FAILURES_TO_EJECT - 1);
        assertFalse(endpoint.health().isEjected());
        assertFalse(detector.hasEjectedEndpoints());
        fail(endpoint, 0, 1);
        assertTrue(endpoint.health().isEjected());
        assertTrue(detector.hasEjectedEndpoints());
        assertEquals(List.of(new EndpointEjected("e0", FAILURES_TO_EJECT, null)), actions.events);
    }

    @Test
    void failuresUnderOverloadEjectNoEndpoint() {
        for (int i = 0; i < 16; i++) {
            detector.onFailure(endpoint, 0, false, NOW_US);
        }
        assertEquals(16, endpoint.errorCount());
        assertFalse(endpoint.isEjectedForAnyClass());
    }

    @Test
    void anEndpointThatServesAnotherClassIsEjectedForTheFailingOneOnly() {
        detector.onSuccess(endpoint, 1, false, NOW_US);
        fail(endpoint, 0, 16);
        assertFalse(endpoint.health().isEjected());
        assertTrue(endpoint.isEjectedFor(0));
        assertFalse(endpoint.isEjectedFor(1));
        assertEquals(List.of(new EndpointEjected("e0", FAILURES_TO_EJECT, "idempotent")), actions.events);
    }

    @Test
    void atMostHalfOfTheEndpointsAreEjected() {
        for (Endpoint failing : active) {
            fail(failing, 0, 16);
        }
        assertTrue(active[0].health().isEjected());
        assertTrue(active[1].health().isEjected());
        assertFalse(active[2].isEjectedForAnyClass());
        assertFalse(active[3].isEjectedForAnyClass());
    }

    @Test
    void theFirstEjectionLastsAQuarterOfASecondOnAverage() {
        fail(endpoint, 0, FAILURES_TO_EJECT);
        assertEquals(250_000, endpoint.health().ejectionDurationUs());
        assertEquals(
                NOW_US + 125_000 + new SplittableRandom(SEED).nextLong(250_000),
                endpoint.health().probationAtUs());
    }

    @Test
    void everyFailureDuringAnEjectionDoublesItsDurationUpToFourSeconds() {
        fail(endpoint, 0, FAILURES_TO_EJECT + 1);
        assertEquals(500_000, endpoint.health().ejectionDurationUs());
        fail(endpoint, 0, 3);
        assertEquals(4_000_000, endpoint.health().ejectionDurationUs());
        fail(endpoint, 0, 1);
        assertEquals(4_000_000, endpoint.health().ejectionDurationUs());
    }

    @Test
    void threeSuccessesInARowRestoreAnEndpoint() {
        fail(endpoint, 0, FAILURES_TO_EJECT);
        succeed(false, 2, NOW_US + 1_000_000);
        assertTrue(endpoint.health().isEjected());
        succeed(false, 1, NOW_US + 1_000_000);
        assertFalse(endpoint.isEjectedForAnyClass());
        assertFalse(detector.hasEjectedEndpoints());
        assertEquals(0, endpoint.errorCount());
        assertEquals(new EndpointRestored("e0", false), actions.events.get(1));
    }

    @Test
    void aResetClearsErrorsAndEjections() {
        fail(endpoint, 0, FAILURES_TO_EJECT);
        detector.resetHistory(endpoint);
        assertEquals(0, endpoint.errorCount());
        assertFalse(endpoint.isEjectedForAnyClass());
    }

    @Test
    void probationAttemptsAreMadeWhenTheEjectionEnds() {
        fail(endpoint, 0, FAILURES_TO_EJECT);
        PendingRequest request = request(PolicyTestObjects.KEY_DEDUPLICATED_EVERYWHERE);
        long probationAtUs = endpoint.health().probationAtUs();
        assertNull(detector.findProbationEndpoint(request, any -> true, probationAtUs - 1));
        assertSame(endpoint, detector.findProbationEndpoint(request, any -> true, probationAtUs));
        assertNull(detector.findProbationEndpoint(request, any -> false, probationAtUs));
    }

    @Test
    void noProbationAttemptIsMadeWhileARequestIsInFlight() {
        fail(endpoint, 0, FAILURES_TO_EJECT);
        endpoint.concurrency().incrementInFlight();
        assertNull(detector.findProbationEndpoint(
                request(0), any -> true, endpoint.health().probationAtUs()));
    }

    @Test
    void nonIdempotentRequestsMakeNoProbationAttemptsAtAnEndpointEjectedForAllClasses() {
        fail(endpoint, PolicyTestObjects.NON_IDEMPOTENT, FAILURES_TO_EJECT);
        assertNull(detector.findProbationEndpoint(
                request(PolicyTestObjects.NON_IDEMPOTENT), any -> true, NOW_US + 1_000_000_000));
    }

    @Test
    void probationOfANonIdempotentClassIsDelayedByFourEjectionTimes() {
        detector.onSuccess(endpoint, 0, false, NOW_US);
        fail(endpoint, PolicyTestObjects.NON_IDEMPOTENT, FAILURES_TO_EJECT);
        long probationAtUs = endpoint.healthOf(PolicyTestObjects.NON_IDEMPOTENT).probationAtUs() + 4 * 250_000;
        PendingRequest request = request(PolicyTestObjects.NON_IDEMPOTENT);
        assertNull(detector.findProbationEndpoint(request, any -> true, probationAtUs - 1));
        assertSame(endpoint, detector.findProbationEndpoint(request, any -> true, probationAtUs));
    }
}

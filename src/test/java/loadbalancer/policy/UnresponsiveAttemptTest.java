package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.log.EndpointEjected;

/**
 * Tests for unresponsive attempts, which count as failures while in flight and are hedged, and for the health of
 * endpoints by request class.
 */
class UnresponsiveAttemptTest {
    private static final long USUAL_LATENCY_US = 10_000;

    private static LoadBalancerFixture instanceWithStatistics(LoadBalancerSettings settings, int endpoints) {
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 11).withEndpoints(endpoints);
        for (int i = 0; i < 200; i++) {
            instance.sendAndComplete(i % 5, AttemptResult.OK, USUAL_LATENCY_US);
        }
        return instance;
    }

    /**
     * Sends a request that gets no response at {@code s0} until its client disconnects and that succeeds elsewhere;
     * returns whether it was sent to {@code s0}.
     */
    private static boolean sendWithUnresponsiveEndpoint(LoadBalancerFixture instance, int classIndex) {
        long id = instance.sendRequest(classIndex);
        if (!instance.lastAttempt(id).endpointId().equals("s0")) {
            instance.completeLastAttempt(id, AttemptResult.OK, USUAL_LATENCY_US);
            return false;
        }
        instance.advance(30 * USUAL_LATENCY_US);
        // The client disconnects long before the deadline, so that no timeout is observed.
        instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
        instance.loadBalancer.onAttemptOutcome(
                instance.nowUs, new AttemptOutcome(id, 0, AttemptResult.CANCELLED, 30 * USUAL_LATENCY_US, true, null));
        return true;
    }

    @Test
    void anUnresponsiveEndpointIsEjectedThoughClientsDisconnectBeforeAnyTimeout() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        int lost = 0;
        for (int i = 0; i < 200; i++) {
            lost += sendWithUnresponsiveEndpoint(instance, LoadBalancerFixture.NON_IDEMPOTENT) ? 1 : 0;
        }
        assertTrue(instance.hasEjected("s0"), instance.events.toString());
        assertTrue(lost <= 8, "requests lost at the unresponsive endpoint: " + lost);
    }

    @Test
    void requestsOfClientsThatDisconnectEarlyDoNotCountAsFailures() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        for (int i = 0; i < 200; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            instance.advance(USUAL_LATENCY_US / 2);
            instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
            instance.loadBalancer.onAttemptOutcome(
                    instance.nowUs,
                    new AttemptOutcome(id, 0, AttemptResult.CANCELLED, USUAL_LATENCY_US / 2, true, null));
        }
        assertTrue(instance.events.isEmpty(), instance.events.toString());
    }

    @Test
    void anUnresponsiveAttemptOfAnIdempotentRequestIsHedged() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        String unresponsive = instance.lastAttempt(id).endpointId();
        instance.advance(10 * USUAL_LATENCY_US);
        assertEquals(2, instance.attemptCount(id));
        assertNotEquals(unresponsive, instance.lastAttempt(id).endpointId());
    }

    @Test
    void anUnresponsiveAttemptOfANonIdempotentRequestIsNotHedged() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        instance.advance(10 * USUAL_LATENCY_US);
        assertEquals(1, instance.attemptCount(id));
    }

    @Test
    void anUnresponsiveAttemptIsNotHedgedIfHedgingIsDisabled() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.hedgingEnabled = false;
        LoadBalancerFixture instance = instanceWithStatistics(settings, 4);
        long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
        instance.advance(10 * USUAL_LATENCY_US);
        assertEquals(1, instance.attemptCount(id));
    }

    @Test
    void hedgedRequestsStayWithinABudgetedShareOfFirstAttempts() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 40);
        int before = instance.startedAttempts.size();
        for (int i = 0; i < 300; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            instance.advance(10 * USUAL_LATENCY_US);
            int attempts = instance.attemptCount(id);
            for (int attempt = 0; attempt < attempts; attempt++) {
                instance.loadBalancer.onAttemptOutcome(
                        instance.nowUs, new AttemptOutcome(id, attempt, AttemptResult.OK, 10_000, true, null));
            }
        }
        int hedges = instance.startedAttempts.size() - before - 300;
        assertTrue(hedges >= 20 && hedges <= 85, "hedged requests beside 300 first attempts: " + hedges);
    }

    @Test
    void aSuspensionOfTheProcessMakesNoAttemptUnresponsive() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        List<Long> ids = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            ids.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT));
        }
        int sent = instance.startedAttempts.size();
        // After the process was suspended for a second, it handles the late timer first and then the responses.
        instance.nowUs += 1_000_000 - 1;
        instance.loadBalancer.onTimer(instance.nowUs);
        ids.forEach(id -> instance.loadBalancer.onAttemptOutcome(
                instance.nowUs, new AttemptOutcome(id, 0, AttemptResult.OK, USUAL_LATENCY_US, true, null)));
        assertEquals(sent, instance.startedAttempts.size());
        assertTrue(instance.events.isEmpty(), instance.events.toString());
    }

    @Test
    void anEndpointThatFailsOneClassIsEjectedForThatClassAndServesTheOthers() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        int failed = 0;
        int served = 0;
        for (int i = 0; i < 600; i++) {
            int classIndex = i % 2 == 0 ? LoadBalancerFixture.NON_IDEMPOTENT : LoadBalancerFixture.IDEMPOTENT;
            long id = instance.sendRequest(classIndex);
            boolean failing = instance.lastAttempt(id).endpointId().equals("s0")
                    && classIndex == LoadBalancerFixture.NON_IDEMPOTENT;
            failed += failing ? 1 : 0;
            served += instance.lastAttempt(id).endpointId().equals("s0") && !failing ? 1 : 0;
            instance.completeLastAttempt(id, failing ? AttemptResult.ERROR : AttemptResult.OK, USUAL_LATENCY_US);
        }
        assertTrue(
                instance.events.contains(new EndpointEjected("s0", 5, "non-idempotent")), instance.events.toString());
        assertTrue(failed <= 8, "requests failed at s0: " + failed);
        assertTrue(served >= 40, "requests of the other class served by s0: " + served);
    }

    @Test
    void aNonIdempotentClassIsRestoredAfterRareProbationAttempts() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 4);
        for (int i = 0; i < 200 && instance.events.isEmpty(); i++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            instance.completeLastAttempt(
                    id,
                    instance.lastAttempt(id).endpointId().equals("s0") ? AttemptResult.ERROR : AttemptResult.OK,
                    USUAL_LATENCY_US);
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, USUAL_LATENCY_US);
        }
        assertTrue(instance.hasEjected("s0"), instance.events.toString());
        for (int i = 0; i < 400; i++) {
            instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.OK, USUAL_LATENCY_US);
        }
        assertTrue(instance.hasRestored("s0"), instance.events.toString());
    }

    /** Guards against limits that grow until endpoints are overloaded, as clients disconnect before slow responses. */
    @Test
    void slowAttemptsOfDisconnectedClientsLowerLimits() {
        int afterResponses = attemptsStartedAtOnce(instanceAfterResponses());
        int afterDisconnects = attemptsStartedAtOnce(instanceAfterDisconnects());
        assertTrue(
                afterDisconnects < afterResponses && afterDisconnects <= 2,
                "in flight at once after disconnects: " + afterDisconnects + ", after responses: " + afterResponses);
    }

    private static LoadBalancerFixture instanceAfterResponses() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 1);
        for (int i = 0; i < 30; i++) {
            instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.OK, USUAL_LATENCY_US);
        }
        return instance;
    }

    private static LoadBalancerFixture instanceAfterDisconnects() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 1);
        for (int i = 0; i < 30; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            instance.advance(12 * USUAL_LATENCY_US);
            instance.loadBalancer.onClientDisconnected(instance.nowUs, id);
            instance.completeLastAttempt(id, AttemptResult.CANCELLED, 0);
        }
        return instance;
    }

    private static int attemptsStartedAtOnce(LoadBalancerFixture instance) {
        int before = instance.startedAttempts.size();
        for (int i = 0; i < 20; i++) {
            instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        }
        return instance.startedAttempts.size() - before;
    }

    /** Sends requests until one is queued, completes all of them, and returns how many were in flight at once. */
    private static int inFlightBeforeQueueing(LoadBalancerFixture instance) {
        List<Long> ids = new ArrayList<>();
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        while (instance.lastAttempt(id) != null) {
            ids.add(id);
            id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        }
        ids.forEach(started -> instance.completeLastAttempt(started, AttemptResult.OK, 0));
        instance.completeLastAttempt(id, AttemptResult.OK, USUAL_LATENCY_US);
        return ids.size();
    }

    @Test
    void aLostAttemptAtAQuickEndpointUsesNoCapacity() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 1);
        int limit = inFlightBeforeQueueing(instance);
        instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        for (int i = 0; i < 20; i++) {
            instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.OK, USUAL_LATENCY_US);
        }
        assertTrue(inFlightBeforeQueueing(instance) >= limit, "requests in flight at once before: " + limit);
    }

    @Test
    void timeoutsAtAQuickEndpointDoNotLowerItsLimit() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 1);
        int limit = inFlightBeforeQueueing(instance);
        for (int lost = 0; lost < 10; lost++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            for (int i = 0; i < 3; i++) {
                instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.OK, USUAL_LATENCY_US);
            }
            instance.loadBalancer.onAttemptOutcome(
                    instance.nowUs,
                    new AttemptOutcome(id, 0, AttemptResult.TIMEOUT, 3 * USUAL_LATENCY_US, false, null));
        }
        assertTrue(inFlightBeforeQueueing(instance) >= limit, "requests in flight at once before: " + limit);
    }

    @Test
    void timeoutsAtASlowEndpointLowerItsLimit() {
        LoadBalancerFixture instance = instanceWithStatistics(LoadBalancerFixture.settings(), 1);
        int limit = inFlightBeforeQueueing(instance);
        for (int round = 0; round < 4; round++) {
            long timedOut = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            instance.completeLastAttempt(id, AttemptResult.OK, 15 * USUAL_LATENCY_US);
            instance.completeLastAttempt(timedOut, AttemptResult.TIMEOUT, 0);
        }
        assertTrue(inFlightBeforeQueueing(instance) < limit, "requests in flight at once before: " + limit);
    }
}

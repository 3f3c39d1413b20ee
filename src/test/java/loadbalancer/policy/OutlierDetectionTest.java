package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.log.EndpointEjected;
import loadbalancer.policy.log.EndpointRestored;

/** Tests for ejection and probation of failing or unresponsive endpoints, and for the choice of endpoints meanwhile. */
class OutlierDetectionTest {

    /**
     * Completes a request whose attempts fail at {@code s0} and succeed elsewhere; returns whether its first attempt
     * was at {@code s0}.
     */
    private static boolean completeRequestFailingAtS0(LoadBalancerFixture instance, int classIndex) {
        long id = instance.sendRequest(classIndex);
        boolean firstAttemptAtS0 = instance.lastAttempt(id).endpointId().equals("s0");
        instance.completeLastAttempt(id, firstAttemptAtS0 ? AttemptResult.ERROR : AttemptResult.OK, 5_000);
        if (firstAttemptAtS0 && instance.attemptCount(id) > 1) {
            instance.completeLastAttempt(id, AttemptResult.OK, 5_000);
        }
        return firstAttemptAtS0;
    }

    /** Returns an instance with four endpoints after 400 requests, whose attempts at {@code s0} all failed. */
    private static LoadBalancerFixture instanceWithFailingEndpoint() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        for (int i = 0; i < 400; i++) {
            completeRequestFailingAtS0(instance, LoadBalancerFixture.IDEMPOTENT);
        }
        return instance;
    }

    private static void assertEjected(LoadBalancerFixture instance) {
        assertTrue(instance.hasEjected("s0"), instance.events.toString());
    }

    @Test
    void aFailingEndpointIsEjectedAndItsProbationAttemptsBecomeRare() {
        LoadBalancerFixture instance = instanceWithFailingEndpoint();
        assertEjected(instance);
        int probationAttempts = 0;
        long untilUs = instance.nowUs + 20_000_000;
        while (instance.nowUs < untilUs) {
            probationAttempts += completeRequestFailingAtS0(instance, LoadBalancerFixture.IDEMPOTENT) ? 1 : 0;
        }
        assertTrue(
                probationAttempts >= 2 && probationAttempts <= 14, "probation attempts in 20 s: " + probationAttempts);
    }

    /** Returns an instance with ten endpoints that reset one attempt in 14; {@code failing} resets all. */
    private static LoadBalancerFixture instanceWithResets(String failing) {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(10);
        SplittableRandom random = new SplittableRandom(3);
        for (int i = 0; i < 4_000; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            for (int attempt = 0; attempt < instance.attemptCount(id); attempt++) {
                boolean reset = random.nextInt(14) == 0
                        || instance.lastAttempt(id).endpointId().equals(failing);
                instance.completeLastAttempt(id, reset ? AttemptResult.RESET : AttemptResult.OK, 5_000);
            }
        }
        return instance;
    }

    @Test
    void failuresCommonToAllEndpointsEjectNone() {
        assertEquals(List.of(), instanceWithResets("none").events);
    }

    @Test
    void anEndpointThatFailsFarMoreThanTheOthersIsEjected() {
        assertEjected(instanceWithResets("s0"));
    }

    @Test
    void nonIdempotentRequestsAreNotUsedForProbation() {
        LoadBalancerFixture instance = instanceWithFailingEndpoint();
        instance.advance(20_000_000);
        for (int i = 0; i < 200; i++) {
            assertTrue(!completeRequestFailingAtS0(instance, LoadBalancerFixture.NON_IDEMPOTENT));
        }
    }

    @Test
    void onlySeveralSuccessesInARowRestoreAnEndpoint() {
        LoadBalancerFixture instance = instanceWithFailingEndpoint();
        instance.advance(20_000_000);
        assertEquals("s0", instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertTrue(instance.events.stream().noneMatch(event -> event instanceof EndpointRestored));
        assertEquals("s0", instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertEquals("s0", instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 5_000));
        assertTrue(instance.events.contains(new EndpointRestored("s0", false)));
    }

    @Test
    void atMostHalfOfTheEndpointsAreEjected() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        for (int i = 0; i < 300; i++) {
            instance.sendAndComplete(LoadBalancerFixture.NON_IDEMPOTENT, AttemptResult.ERROR, 5_000);
        }
        // All endpoints fail and two may be ejected; requests must be sent to the other two and not be queued.
        long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
        assertNotNull(instance.lastAttempt(id));
    }

    @Test
    void anUnresponsiveEndpointIsAvoidedBeforeAnyDeadlinePasses() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(4);
        for (int i = 0; i < 100; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 10_000);
        }
        int attemptsAtUnresponsive = 0;
        for (int i = 0; i < 80; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT);
            if (instance.lastAttempt(id).endpointId().equals("s0")) {
                attemptsAtUnresponsive++;
            } else {
                instance.completeLastAttempt(id, AttemptResult.OK, 10_000);
            }
        }
        assertTrue(attemptsAtUnresponsive <= 5, "attempts at the unresponsive endpoint: " + attemptsAtUnresponsive);
    }

    @Test
    void anOverloadedEndpointThatStillRespondsIsNotEjectedForTimeouts() {
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(2);
        for (int round = 0; round < 80; round++) {
            // Each burst has one request more than the limits allow, so that the limits are reached and grow.
            List<Long> burst = new ArrayList<>();
            do {
                burst.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT));
            } while (instance.lastAttempt(burst.get(burst.size() - 1)) != null && burst.size() < 40);
            burst.forEach(id -> instance.completeLastAttempt(id, AttemptResult.OK, 100));
        }
        List<Long> overload = new ArrayList<>();
        for (int i = 0; i < 14; i++) {
            overload.add(instance.sendRequest(LoadBalancerFixture.IDEMPOTENT, 30_000));
        }
        for (String endpoint : List.of("s0", "s1")) {
            long served = overload.stream()
                    .filter(id -> instance.lastAttempt(id).endpointId().equals(endpoint))
                    .findFirst()
                    .get();
            instance.completeLastAttempt(served, AttemptResult.OK, 1_000);
            overload.remove(served);
        }
        instance.advance(28_000);
        overload.forEach(id -> instance.completeLastAttempt(id, AttemptResult.TIMEOUT, 0));
        assertTrue(
                instance.events.stream().noneMatch(event -> event instanceof EndpointEjected),
                instance.events.toString());
    }

    /**
     * Returns an instance with two local and six remote endpoints and a cost for crossing zones, after 50 successive
     * requests.
     */
    private static LoadBalancerFixture instanceWithRemoteEndpoints() {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.crossZoneCost = 0.02;
        LoadBalancerFixture instance = new LoadBalancerFixture(settings, 5);
        List<EndpointListEntry> entries = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            entries.add(new EndpointListEntry("s" + i, i < 2 ? 0 : 1, 0, EndpointState.READY, 1, 0));
        }
        instance.receiveEndpointList(EndpointListKind.CACHED, entries);
        for (int i = 0; i < 50; i++) {
            instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 5_000);
        }
        return instance;
    }

    private static boolean isLocal(LoadBalancerFixture.StartedAttempt attempt) {
        return attempt.endpointId().equals("s0") || attempt.endpointId().equals("s1");
    }

    @Test
    void localEndpointsArePreferredIfCrossingZonesHasACost() {
        List<LoadBalancerFixture.StartedAttempt> attempts = instanceWithRemoteEndpoints().startedAttempts;
        assertEquals(50, attempts.size());
        attempts.forEach(attempt -> assertTrue(isLocal(attempt), attempt.toString()));
    }

    @Test
    void remoteEndpointsAreUsedWhenLocalOnesAreBusy() {
        LoadBalancerFixture instance = instanceWithRemoteEndpoints();
        long remote = 0;
        for (int i = 0; i < 12; i++) {
            long id = instance.sendRequest(LoadBalancerFixture.IDEMPOTENT);
            remote += isLocal(instance.lastAttempt(id)) ? 0 : 1;
        }
        assertTrue(remote >= 6, "attempts in the other zone: " + remote);
    }

    @Test
    void attemptsInFlightAtARemovedEndpointUseNoCapacityOfTheOthers() {
        // Guards against counting attempts at removed endpoints towards the sum of all limits.
        LoadBalancerFixture instance = new LoadBalancerFixture().withEndpoints(1);
        for (int i = 0; i < 4; i++) {
            assertNotNull(instance.lastAttempt(instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT)));
        }
        instance.receiveEndpointList(EndpointListKind.COMPLETE, List.of(LoadBalancerFixture.readyEndpoint("other")));
        for (int i = 0; i < 3; i++) {
            LoadBalancerFixture.StartedAttempt attempt =
                    instance.lastAttempt(instance.sendRequest(LoadBalancerFixture.NON_IDEMPOTENT));
            assertTrue(attempt != null && attempt.endpointId().equals("other"), "request " + i + ": " + attempt);
        }
    }
}

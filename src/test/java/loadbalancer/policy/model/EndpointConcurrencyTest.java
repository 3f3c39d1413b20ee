package loadbalancer.policy.model;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests for the limit, pauses and slowness in {@link EndpointConcurrency}. */
class EndpointConcurrencyTest {
    private final EndpointConcurrency concurrency = new EndpointConcurrency();

    @Test
    void aResetDiscardsTheLimitAndKeepsTheRequestsInFlight() {
        concurrency.incrementInFlight();
        concurrency.incrementInFlight();
        concurrency.decrementInFlight();
        concurrency.setLimit(3);
        concurrency.resetLimit();
        assertEquals(1, concurrency.inFlight());
        assertEquals(0, concurrency.limit());
        assertEquals(1, concurrency.slowness());
    }

    @Test
    void onlyACutSetsTheTimeOfTheLastCut() {
        concurrency.cutLimit(2, 500);
        concurrency.setLimit(3);
        assertEquals(3, concurrency.limit());
        assertEquals(500, concurrency.limitCutAtUs());
    }

    @Test
    void anOverlappingPauseStartsAtTheEndOfTheEarlierOne() {
        concurrency.pause(1_000, 500);
        assertEquals(1_500, concurrency.pausedUntilUs());
        concurrency.pause(1_200, 400);
        assertEquals(1_900, concurrency.pausedUntilUs());
        assertEquals(400, concurrency.pauseUs());
    }

    @Test
    void aPauseThatDoesNotOverlapStartsWithItsAttempt() {
        concurrency.pause(1_000, 500);
        concurrency.pause(3_000, 100);
        assertEquals(3_100, concurrency.pausedUntilUs());
    }

    @Test
    void slownessIsARunningMean() {
        concurrency.recordSlowness(2, 0.125);
        assertEquals(0.25, concurrency.slowness());
        concurrency.recordSlowness(1.25, 0.5);
        assertEquals(0.75, concurrency.slowness());
    }

    @Test
    void theLatestStartIsKeptWhenAnOlderAttemptGetsItsResponseLater() {
        concurrency.recordRespondedAttempt(2_000);
        concurrency.recordRespondedAttempt(1_000);
        assertEquals(2_000, concurrency.newestRespondedAttemptStartedAtUs());
    }
}

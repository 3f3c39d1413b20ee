package loadbalancer.policy.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests for the running mean of intervals in {@link ServiceRate}. */
class ServiceRateTest {
    private final ServiceRate rate = new ServiceRate();

    @Test
    void theIntervalIsFiftyMillisecondsBeforeTheFirstResponse() {
        rate.onAttemptStarted(900_000_000);
        assertEquals(50_000, rate.intervalUs(900_000_000));
    }

    @Test
    void theFirstIntervalStartsAtTheFirstAttempt() {
        rate.onAttemptStarted(1_000_000);
        rate.onAttemptStarted(1_050_000);
        rate.onSuccess(1_082_000);
        assertEquals(51_000, rate.intervalUs(1_082_000));
    }

    @Test
    void laterIntervalsStartAtTheLastResponse() {
        rate.onAttemptStarted(1_000_000);
        rate.onSuccess(1_082_000);
        rate.onAttemptStarted(1_083_000);
        rate.onSuccess(1_082_000 + 19_000);
        assertEquals(50_000, rate.intervalUs(1_101_000));
    }

    @Test
    void theIntervalGrowsWhileThereIsNoResponse() {
        rate.onAttemptStarted(1_000_000);
        assertEquals(100_000, rate.intervalUs(1_000_000 + 3_200_000));
    }
}

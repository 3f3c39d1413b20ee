package loadbalancer.policy.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests for the running share in {@link TimelyResponseRate}. */
class TimelyResponseRateTest {
    private final TimelyResponseRate rate = new TimelyResponseRate();

    @Test
    void theShareIsThreeQuartersBeforeTheFirstResult() {
        assertEquals(0.75, rate.share());
    }

    @Test
    void aTimelyResponseReducesTheDifferenceToOneByAnEighth() {
        rate.record(true);
        assertEquals(0.78125, rate.share());
    }

    @Test
    void aLateResponseLowersTheShareByAnEighth() {
        rate.record(false);
        assertEquals(0.65625, rate.share());
    }
}

package loadbalancer.policy.statistics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests for the running means in {@link LatencyStatistics}. */
class LatencyStatisticsTest {
    private static final double TOLERANCE_US = 1e-6;

    private final LatencyStatistics statistics = new LatencyStatistics(2);

    private void record(int times, long latencyUs) {
        for (int i = 0; i < times; i++) {
            statistics.record(0, latencyUs);
        }
    }

    @Test
    void theFirstResultsHaveEqualWeights() {
        statistics.record(0, 100);
        statistics.record(0, 200);
        statistics.record(0, 600);
        assertEquals(300, statistics.meanUs(0), TOLERANCE_US);
    }

    @Test
    void laterResultsHaveAWeightOfOneInThirtyTwo() {
        record(100, 1_000);
        statistics.record(0, 33_000);
        assertEquals(2_000, statistics.meanUs(0), TOLERANCE_US);
    }

    @Test
    void eachClassHasItsOwnMean() {
        statistics.record(1, 500);
        assertTrue(statistics.hasResults(1));
        assertFalse(statistics.hasResults(0));
        assertEquals(0, statistics.meanUs(0));
        assertEquals(500, statistics.meanUs(1));
    }

    @Test
    void aMeanIsReliableFromSixteenResultsOn() {
        record(15, 1_000);
        assertFalse(statistics.isMeanReliable(0));
        assertEquals(Double.MAX_VALUE, statistics.lowestMeanUs(0));
        record(1, 1_000);
        assertTrue(statistics.isMeanReliable(0));
        assertEquals(1_000, statistics.lowestMeanUs(0), TOLERANCE_US);
    }

    @Test
    void theLowestMeanRisesOnlyByItsGrowthFactorWhenTheMeanRises() {
        record(16, 1_000);
        record(1, 18_000);
        assertEquals(2_000, statistics.meanUs(0), TOLERANCE_US);
        assertEquals(1_000.1, statistics.lowestMeanUs(0), TOLERANCE_US);
    }

    @Test
    void theLowestMeanFallsAtOnceWhenTheMeanFalls() {
        record(16, 1_000);
        record(1, 150);
        assertEquals(950, statistics.lowestMeanUs(0), TOLERANCE_US);
    }

    @Test
    void latenciesAboveFourFifthsOfTheMeanAreSlowerThanMost() {
        record(1, 1_000);
        assertFalse(statistics.isSlowerThanMost(0, 800));
        assertTrue(statistics.isSlowerThanMost(0, 801));
    }
}

package loadbalancer.policy.selection;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.Endpoint;

/**
 * Tests {@link EndpointWeights}. If the highest error count is three, an endpoint without errors has the weight
 * (1 + 3)^1.5 = 8.
 */
class EndpointWeightsTest {
    private static final long SEED = 9;

    private final Endpoint[] endpoints = PolicyTestObjects.activeEndpoints(PolicyTestObjects.settings(), 4);
    private final EndpointSelection selection = new EndpointSelection(endpoints, false);
    private final EndpointWeights weights = new EndpointWeights();

    private void setErrors(int... errorCounts) {
        for (int i = 0; i < errorCounts.length; i++) {
            endpoints[i].setErrorCount(errorCounts[i]);
        }
        weights.markStale();
        weights.refresh(endpoints, selection, selection);
    }

    @Test
    void weightsFallWithTheErrorCount() {
        setErrors(0, 1, 2, 3);
        // 8, 8/2, 8/3 and 8/4, each rounded up.
        assertArrayEquals(new long[] {8, 12, 15, 17}, selection.cumulativeWeights());
    }

    @Test
    void withoutErrorsAllWeightsAreOne() {
        setErrors(0, 0, 0, 0);
        assertArrayEquals(new long[] {1, 2, 3, 4}, selection.cumulativeWeights());
    }

    @Test
    void anEjectedEndpointHasTheWeightOne() {
        endpoints[0].health().eject(1, 1);
        setErrors(0, 0, 0, 3);
        assertArrayEquals(new long[] {1, 9, 17, 19}, selection.cumulativeWeights());
    }

    @Test
    void weightsAreRecomputedOnlyWhenStale() {
        setErrors(0, 0, 0, 3);
        endpoints[0].setErrorCount(3);
        weights.refresh(endpoints, selection, selection);
        assertArrayEquals(new long[] {8, 16, 24, 26}, selection.cumulativeWeights());
        weights.markStale();
        weights.refresh(endpoints, selection, selection);
        assertArrayEquals(new long[] {2, 10, 18, 20}, selection.cumulativeWeights());
    }

    @Test
    void picksFollowTheWeights() {
        setErrors(3, 0, 3, 0);
        int[] indexByRandomNumber = {0, 0, 1, 1, 1, 1, 1, 1, 1, 1, 2, 2, 3, 3, 3, 3, 3, 3, 3, 3};
        SplittableRandom random = new SplittableRandom(SEED);
        SplittableRandom sameRandom = new SplittableRandom(SEED);
        for (int i = 0; i < 1_000; i++) {
            assertEquals(indexByRandomNumber[(int) sameRandom.nextLong(20)], weights.pickIndex(selection, random));
        }
    }

    @Test
    void withoutErrorsPicksAreUniform() {
        setErrors(0, 0, 0, 0);
        SplittableRandom random = new SplittableRandom(SEED);
        SplittableRandom sameRandom = new SplittableRandom(SEED);
        for (int i = 0; i < 1_000; i++) {
            assertEquals(sameRandom.nextInt(4), weights.pickIndex(selection, random));
        }
    }

    @Test
    void aPickByKeyAcceptsAnEndpointInProportionToItsWeight() {
        setErrors(0, 0, 0, 3);
        // The weight is a quarter of the highest one, so the lowest quarter of the hash's low 32 bits is accepted.
        assertTrue(weights.accepts(endpoints[3], 0xABCD_0000_3FFF_FFFFL));
        assertFalse(weights.accepts(endpoints[3], 0xABCD_0000_4000_0000L));
        assertTrue(weights.accepts(endpoints[0], 0xFFFF_FFFFL));
    }
}

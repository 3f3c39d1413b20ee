package loadbalancer.policy.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;

/** Tests for {@link KeyHash} against reference outputs of SplitMix64. */
class KeyHashTest {
    /** Reference outputs of SplitMix64 for the seed 0. */
    private static final long[] SPLIT_MIX_64_OUTPUTS = {0xE220A8397B1DCDAFL, 0x6E789E6AA1B965F4L, 0x06C45D188009454FL};

    @Test
    void picksAreTheOutputsOfSplitMix64() {
        for (int i = 0; i < SPLIT_MIX_64_OUTPUTS.length; i++) {
            assertEquals(SPLIT_MIX_64_OUTPUTS[i], KeyHash.ofPick(0, i + 1));
        }
    }

    @Test
    void picksOfAnySeedFollowTheSameSequence() {
        SplittableRandom reference = new SplittableRandom(42);
        assertEquals(reference.nextLong(), KeyHash.ofPick(42, 1));
        assertEquals(reference.nextLong(), KeyHash.ofPick(42, 2));
    }

    @Test
    void aSeedIsNeverZero() {
        // The hash code of an empty key is 0, which the finalizer maps to 0.
        assertEquals(1, KeyHash.seedOf(""));
    }

    @Test
    void aSeedDependsOnTheKey() {
        assertEquals(KeyHash.seedOf("a"), KeyHash.seedOf(new String("a".toCharArray())));
        assertNotEquals(KeyHash.seedOf("a"), KeyHash.seedOf("b"));
    }
}

package loadbalancer.policy.model;

/** Hashes of request keys that are the same on every instance. */
public final class KeyHash {
    private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;

    private KeyHash() {}

    /** Returns the seed of the picks for a key; never 0. */
    public static long seedOf(String key) {
        return mix(key.hashCode()) | 1;
    }

    /** Returns the hash of one pick for a key; the picks of a seed are numbered from 0. */
    public static long ofPick(long seed, int pick) {
        return mix(seed + pick * GOLDEN_GAMMA);
    }

    /** Applies the finalizer of SplitMix64. */
    private static long mix(long value) {
        long mixed = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        mixed = (mixed ^ mixed >>> 27) * 0x94D049BB133111EBL;
        return mixed ^ mixed >>> 31;
    }
}

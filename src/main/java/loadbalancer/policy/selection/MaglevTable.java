package loadbalancer.policy.selection;

import java.util.Arrays;
import java.util.function.ToLongFunction;

/**
 * A Maglev hashing lookup table, in which all endpoints have about the same number of entries. The endpoints take turns
 * in claiming entries, and each one probes the entries in an order that its hash determines. Every instance builds the
 * same table from the same endpoints, and a change of the endpoints moves few entries.
 */
final class MaglevTable {
    private MaglevTable() {}

    /**
     * Builds a table.
     *
     * @param size the number of entries in the table, a prime
     * @param rowSize the number of entries in a row. No row contains an endpoint twice; an entry that no endpoint may
     *     claim for this reason is null
     */
    static <T> T[] build(T[] endpoints, ToLongFunction<T> hash, int size, int rowSize) {
        T[] sorted = endpoints.clone();
        Arrays.sort(sorted, (a, b) -> Long.compare(hash.applyAsLong(a), hash.applyAsLong(b)));
        T[] table = Arrays.copyOf(endpoints, size);
        Arrays.fill(table, null);
        int[] nextEntry = new int[sorted.length];
        int[] probedEntries = new int[sorted.length];
        for (int i = 0; i < sorted.length; i++) {
            nextEntry[i] = (int) Math.floorMod(hash.applyAsLong(sorted[i]), (long) size);
        }
        int freeEntries = size;
        int turnsWithoutClaim = 0;
        for (int i = 0; freeEntries > 0 && turnsWithoutClaim < sorted.length; i = (i + 1) % sorted.length) {
            int skip = 1 + (int) Math.floorMod(hash.applyAsLong(sorted[i]) >> 32, size - 1L);
            while (probedEntries[i] < size && !claim(table, sorted[i], nextEntry[i], rowSize)) {
                nextEntry[i] = (nextEntry[i] + skip) % size;
                probedEntries[i]++;
            }
            boolean claimed = probedEntries[i] < size;
            turnsWithoutClaim = claimed ? 0 : turnsWithoutClaim + 1;
            freeEntries -= claimed ? 1 : 0;
        }
        return table;
    }

    private static <T> boolean claim(T[] table, T endpoint, int entry, int rowSize) {
        int rowStart = entry - entry % rowSize;
        int rowEnd = Math.min(rowStart + rowSize, table.length);
        if (table[entry] != null
                || Arrays.asList(table).subList(rowStart, rowEnd).contains(endpoint)) {
            return false;
        }
        table[entry] = endpoint;
        return true;
    }

    /** Returns the smallest odd prime that is not below {@code minimum}, which must be above 1. */
    static int nextPrime(int minimum) {
        int candidate = minimum | 1;
        while (!isOddPrime(candidate)) {
            candidate += 2;
        }
        return candidate;
    }

    private static boolean isOddPrime(int odd) {
        for (int divisor = 3; divisor * divisor <= odd; divisor += 2) {
            if (odd % divisor == 0) {
                return false;
            }
        }
        return true;
    }
}

package loadbalancer.policy.selection;

import loadbalancer.policy.model.Endpoint;

/** A set of endpoints to pick from, with their cumulative weights and a lookup table for picks by key. */
final class EndpointSelection {
    /**
     * Approximate number of table entries per endpoint if the number of endpoints is a power of two; otherwise there
     * are fewer, but more than half as many. The endpoints' shares of the keys then differ by some percent.
     */
    private static final int TABLE_ENTRIES_PER_ENDPOINT = 16;

    private static final Endpoint[] NO_ENDPOINTS = {};

    private final Endpoint[] endpoints;
    /** For each index the sum of the weights of all endpoints up to and including that index. */
    private final long[] cumulativeWeights;

    private final Endpoint[] keyTable;

    EndpointSelection(Endpoint[] endpoints, boolean hasKeyTable) {
        this.endpoints = endpoints;
        cumulativeWeights = new long[endpoints.length];
        keyTable = hasKeyTable && endpoints.length > 0 ? buildKeyTable(endpoints) : NO_ENDPOINTS;
    }

    /**
     * Builds the lookup table for picks by key. Its size depends on the largest power of two that is not above the
     * number of endpoints, because a change of the size moves all keys.
     */
    private static Endpoint[] buildKeyTable(Endpoint[] endpoints) {
        int size = MaglevTable.nextPrime(TABLE_ENTRIES_PER_ENDPOINT * Integer.highestOneBit(endpoints.length));
        return MaglevTable.build(endpoints, Endpoint::hash, size, 1);
    }

    int size() {
        return endpoints.length;
    }

    Endpoint get(int index) {
        return endpoints[index];
    }

    long[] cumulativeWeights() {
        return cumulativeWeights;
    }

    /** Returns the lookup table for picks by key, which is empty without key affinity. */
    Endpoint[] keyTable() {
        return keyTable;
    }
}

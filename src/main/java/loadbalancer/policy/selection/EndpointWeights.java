package loadbalancer.policy.selection;

import java.util.Arrays;
import java.util.SplittableRandom;

import loadbalancer.policy.model.Endpoint;

/**
 * The weights of endpoints by the ServiceQ mechanism: ceil(E_m / (1 + errors)), where E_m = floor((1 + e)^1.5) and e is
 * the highest error count of all active endpoints. An ejected endpoint has weight 1. The weights are recomputed only
 * after error counts, ejections or the endpoints have changed.
 */
final class EndpointWeights {
    private static final double ERROR_EXPONENT = 1.5;
    private static final double HASH_RANGE = 0x1p32;
    private static final long HASH_MASK = 0xFFFFFFFFL;

    private boolean isStale;
    /** E_m, the weight of an endpoint without errors. */
    private double highestWeight = 1;

    void markStale() {
        isStale = true;
    }

    /** Recomputes the cumulative weights of both selections if they are stale. */
    void refresh(Endpoint[] active, EndpointSelection allEndpoints, EndpointSelection localEndpoints) {
        if (!isStale) {
            return;
        }
        int maxErrors = 0;
        for (Endpoint endpoint : active) {
            maxErrors = Math.max(maxErrors, endpoint.errorCount());
        }
        highestWeight = Math.floor(Math.pow(1 + maxErrors, ERROR_EXPONENT));
        updateCumulativeWeights(allEndpoints);
        updateCumulativeWeights(localEndpoints);
        isStale = false;
    }

    private void updateCumulativeWeights(EndpointSelection selection) {
        long sum = 0;
        for (int i = 0; i < selection.size(); i++) {
            sum += weight(selection.get(i));
            selection.cumulativeWeights()[i] = sum;
        }
    }

    private long weight(Endpoint endpoint) {
        return endpoint.health().isEjected() ? 1 : (long) Math.ceil(highestWeight / (1 + endpoint.errorCount()));
    }

    /** Returns a random index into a selection that is not empty, with probabilities in proportion to the weights. */
    int pickIndex(EndpointSelection selection, SplittableRandom random) {
        int lastIndex = selection.size() - 1;
        if (highestWeight == 1) {
            return random.nextInt(lastIndex + 1);
        }
        long[] cumulativeWeights = selection.cumulativeWeights();
        int position = Arrays.binarySearch(cumulativeWeights, random.nextLong(cumulativeWeights[lastIndex]));
        return position < 0 ? -1 - position : position + 1;
    }

    /** Returns whether a pick by key with this hash accepts an endpoint; the probability is its weight over E_m. */
    boolean accepts(Endpoint endpoint, long hash) {
        return (hash & HASH_MASK) * highestWeight < weight(endpoint) * HASH_RANGE;
    }
}

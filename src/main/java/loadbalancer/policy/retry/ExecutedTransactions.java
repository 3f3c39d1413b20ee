package loadbalancer.policy.retry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;

import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;

/**
 * The transaction ids of recent requests that are not idempotent and may have been executed. A request that comes again
 * with such an id, for example because its client has lost the connection, must not be executed a second time.
 */
public final class ExecutedTransactions {
    /** The multiple of the longest deadline of a request class for which an id is remembered. */
    private static final int RETENTION_DEADLINES = 2;

    /** The maximum number of characters of all remembered ids; beyond it, the oldest ids are forgotten. */
    private static final int MAX_CHARACTERS = 512 << 10;

    /** Counts for each id besides its characters, so that many short ids are limited as well. */
    private static final int OVERHEAD_CHARACTERS = 100;

    /**
     * A request that may have been executed.
     *
     * @param expiresAtUs the time until which it is remembered
     * @param hasResponse whether its client has the response
     */
    private record Transaction(long expiresAtUs, BooleanSupplier hasResponse) {}

    private final LoadBalancerSettings settings;
    private final long retentionUs;
    /** The transactions by their ids, the oldest first. */
    private final Map<String, Transaction> transactions = new LinkedHashMap<>();

    private long characters;

    /** Creates an empty history for the request classes of these settings. */
    public ExecutedTransactions(LoadBalancerSettings settings) {
        this.settings = settings;
        retentionUs = RETENTION_DEADLINES
                * settings.classes.stream()
                        .mapToLong(RequestClass::deadlineUs)
                        .max()
                        .orElse(0);
    }

    /**
     * Remembers the id of a request that may have been executed, unless the request may be executed any number of times.
     *
     * @param hasResponse whether the client has the response, asked when the id comes again; false as well if the client
     *     has disconnected and may not have read it
     */
    public void record(String transactionId, int classIndex, BooleanSupplier hasResponse, long nowUs) {
        if (settings.classes.get(classIndex).idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        forget(transactionId);
        transactions.put(transactionId, new Transaction(nowUs + retentionUs, hasResponse));
        characters += heldCharacters(transactionId);
        forgetOldest(nowUs);
    }

    /** Returns whether a request with this id may be forwarded. */
    public boolean mayForward(String transactionId, long nowUs) {
        Transaction earlier = transactions.get(transactionId);
        return earlier == null || nowUs >= earlier.expiresAtUs || earlier.hasResponse.getAsBoolean();
    }

    int size() {
        return transactions.size();
    }

    private void forget(String transactionId) {
        if (transactions.remove(transactionId) != null) {
            characters -= heldCharacters(transactionId);
        }
    }

    /** Forgets the ids whose time is over, and the oldest ones beyond the limit. */
    public void forgetOldest(long nowUs) {
        Iterator<Map.Entry<String, Transaction>> oldestFirst =
                transactions.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Transaction> oldest = oldestFirst.next();
            if (nowUs < oldest.getValue().expiresAtUs && characters <= MAX_CHARACTERS) {
                return;
            }
            oldestFirst.remove();
            characters -= heldCharacters(oldest.getKey());
        }
    }

    private static int heldCharacters(String transactionId) {
        return OVERHEAD_CHARACTERS + transactionId.length();
    }
}

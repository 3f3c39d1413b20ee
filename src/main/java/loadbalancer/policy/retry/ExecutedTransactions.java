package loadbalancer.policy.retry;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

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

    /** The connection of a client. */
    public interface Client {
        /** Returns whether the client is certainly connected. */
        boolean isConnected();
    }

    /**
     * A request that may have been executed.
     *
     * @param expiresAtUs the time until which it is remembered
     * @param respondedTo the client that got the response, or null if it had left before
     */
    private record Transaction(long expiresAtUs, Client respondedTo) {
        /** Returns whether the first client has its response, and another one uses the id again. */
        boolean mayComeAgainFrom(Client client) {
            return respondedTo != null && !respondedTo.equals(client) && respondedTo.isConnected();
        }
    }

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
     * @param respondedTo the client that gets the response, or null if it has left; once it has left, it may not have read
     *     the response
     */
    public void record(String transactionId, int classIndex, Client respondedTo, long nowUs) {
        if (settings.classes.get(classIndex).idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        forget(transactionId);
        transactions.put(transactionId, new Transaction(nowUs + retentionUs, respondedTo));
        characters += heldCharacters(transactionId);
        forgetOldest(nowUs);
    }

    /**
     * Returns whether a request with this id may be forwarded. On one connection an id may not come again, because it may
     * have been sent before the response to the first request was read.
     */
    public boolean mayForward(String transactionId, Client client, long nowUs) {
        Transaction earlier = transactions.get(transactionId);
        return earlier == null || nowUs >= earlier.expiresAtUs || earlier.mayComeAgainFrom(client);
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

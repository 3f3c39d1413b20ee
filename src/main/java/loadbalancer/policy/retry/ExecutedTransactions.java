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

    private final LoadBalancerSettings settings;
    private final long retentionUs;
    /** The time until which each id is remembered, the oldest id first. */
    private final Map<String, Long> expiresAtUs = new LinkedHashMap<>();

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

    /** Remembers the id of a request that may have been executed, unless the request may be executed any number of times. */
    public void record(String transactionId, int classIndex, long nowUs) {
        if (settings.classes.get(classIndex).idempotency() == Idempotency.IDEMPOTENT) {
            return;
        }
        forget(transactionId);
        expiresAtUs.put(transactionId, nowUs + retentionUs);
        characters += heldCharacters(transactionId);
        forgetOldest(nowUs);
    }

    /** Returns whether a request with this id may be forwarded. */
    public boolean mayForward(String transactionId, long nowUs) {
        Long expiry = expiresAtUs.get(transactionId);
        return expiry == null || nowUs >= expiry;
    }

    int size() {
        return expiresAtUs.size();
    }

    private void forget(String transactionId) {
        if (expiresAtUs.remove(transactionId) != null) {
            characters -= heldCharacters(transactionId);
        }
    }

    /** Forgets the ids whose time is over, and the oldest ones beyond the limit. */
    public void forgetOldest(long nowUs) {
        Iterator<Map.Entry<String, Long>> oldestFirst = expiresAtUs.entrySet().iterator();
        while (oldestFirst.hasNext()) {
            Map.Entry<String, Long> oldest = oldestFirst.next();
            if (nowUs < oldest.getValue() && characters <= MAX_CHARACTERS) {
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

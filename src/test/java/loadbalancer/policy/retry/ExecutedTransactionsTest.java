package loadbalancer.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;

/** Which ids are refused, and for how long they are remembered. */
class ExecutedTransactionsTest {
    private static final long DEADLINE_US = 3_000_000;
    private static final int IDEMPOTENT = 0;
    private static final int NON_IDEMPOTENT = 1;
    private static final ExecutedTransactions.Client OTHER_CLIENT = () -> true;

    private final ExecutedTransactions transactions = new ExecutedTransactions(settings());

    private static LoadBalancerSettings settings() {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.classes.add(requestClass("page", Idempotency.IDEMPOTENT));
        settings.classes.add(requestClass("order", Idempotency.NON_IDEMPOTENT));
        return settings;
    }

    private static RequestClass requestClass(String name, Idempotency idempotency) {
        return new RequestClass(
                name, 1_000_000, 0, DEADLINE_US, 1, 0, idempotency, DeduplicationScope.ALL, 1_200_000, false);
    }

    @Test
    void idIsRememberedForTwoDeadlines() {
        transactions.record("a", NON_IDEMPOTENT, null, 5);
        assertFalse(transactions.mayForward("a", OTHER_CLIENT, 5));
        assertFalse(transactions.mayForward("a", OTHER_CLIENT, 4 + 2 * DEADLINE_US));
        assertTrue(transactions.mayForward("a", OTHER_CLIENT, 5 + 2 * DEADLINE_US));
        assertTrue(transactions.mayForward("b", OTHER_CLIENT, 5));
    }

    @Test
    void idMayComeAgainFromAnotherClientWhileTheFirstIsConnected() {
        boolean[] isConnected = {true};
        ExecutedTransactions.Client first = () -> isConnected[0];
        transactions.record("a", NON_IDEMPOTENT, first, 0);
        assertTrue(transactions.mayForward("a", OTHER_CLIENT, 1));
        assertFalse(transactions.mayForward("a", first, 1));
        isConnected[0] = false;
        assertFalse(transactions.mayForward("a", OTHER_CLIENT, 2));
    }

    @Test
    void idempotentRequestMayComeAgain() {
        transactions.record("a", IDEMPOTENT, null, 5);
        assertTrue(transactions.mayForward("a", OTHER_CLIENT, 6));
    }

    @Test
    void laterExecutionExtendsTheTime() {
        transactions.record("a", NON_IDEMPOTENT, null, 0);
        transactions.record("a", NON_IDEMPOTENT, null, DEADLINE_US);
        assertFalse(transactions.mayForward("a", OTHER_CLIENT, 3 * DEADLINE_US - 1));
    }

    @Test
    void expiredIdsAreForgotten() {
        transactions.record("a", NON_IDEMPOTENT, null, 0);
        transactions.record("b", NON_IDEMPOTENT, null, 1);
        transactions.forgetOldest(2 * DEADLINE_US);
        assertEquals(1, transactions.size());
    }

    /** Ever new ids must not take up ever more memory; the oldest are forgotten. */
    @Test
    void oldestIdsAreForgottenBeyondTheLimit() {
        for (int i = 0; i < 100_000; i++) {
            transactions.record("id" + i, NON_IDEMPOTENT, null, i);
        }
        assertTrue(transactions.mayForward("id0", OTHER_CLIENT, 100_000));
        assertFalse(transactions.mayForward("id99999", OTHER_CLIENT, 100_000));
    }
}

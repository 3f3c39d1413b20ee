package loadbalancer.policy.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;

class ExecutedTransactionsTest {
    private static final long DEADLINE_US = 3_000_000;
    private static final int IDEMPOTENT = 0;
    private static final int NON_IDEMPOTENT = 1;

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
        transactions.record("a", NON_IDEMPOTENT, () -> false, 5);
        assertFalse(transactions.mayForward("a", 5));
        assertFalse(transactions.mayForward("a", 4 + 2 * DEADLINE_US));
        assertTrue(transactions.mayForward("a", 5 + 2 * DEADLINE_US));
        assertTrue(transactions.mayForward("b", 5));
    }

    @Test
    void idMayComeAgainWhileItsClientHasTheResponse() {
        boolean[] hasResponse = {true};
        transactions.record("a", NON_IDEMPOTENT, () -> hasResponse[0], 0);
        assertTrue(transactions.mayForward("a", 1));
        hasResponse[0] = false;
        assertFalse(transactions.mayForward("a", 2));
    }

    @Test
    void idempotentRequestMayComeAgain() {
        transactions.record("a", IDEMPOTENT, () -> false, 5);
        assertTrue(transactions.mayForward("a", 6));
    }

    @Test
    void laterExecutionExtendsTheTime() {
        transactions.record("a", NON_IDEMPOTENT, () -> false, 0);
        transactions.record("a", NON_IDEMPOTENT, () -> false, DEADLINE_US);
        assertFalse(transactions.mayForward("a", 3 * DEADLINE_US - 1));
    }

    @Test
    void expiredIdsAreForgotten() {
        transactions.record("a", NON_IDEMPOTENT, () -> false, 0);
        transactions.record("b", NON_IDEMPOTENT, () -> false, 1);
        transactions.forgetOldest(2 * DEADLINE_US);
        assertEquals(1, transactions.size());
    }

    /** Ever new ids must not take up ever more memory; the oldest are forgotten. */
    @Test
    void oldestIdsAreForgottenBeyondTheLimit() {
        for (int i = 0; i < 100_000; i++) {
            transactions.record("id" + i, NON_IDEMPOTENT, () -> false, i);
        }
        assertTrue(transactions.mayForward("id0", 100_000));
        assertFalse(transactions.mayForward("id99999", 100_000));
    }
}

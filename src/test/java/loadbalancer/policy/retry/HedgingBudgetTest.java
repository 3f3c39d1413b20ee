package loadbalancer.policy.retry;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests for the number of hedged requests that {@link HedgingBudget} allows. */
class HedgingBudgetTest {
    private final HedgingBudget budget = new HedgingBudget();

    private void spendWholeBudget(int hedgedRequests) {
        for (int i = 0; i < hedgedRequests; i++) {
            assertTrue(budget.isAvailable(), "no budget for hedged request " + i);
            budget.spend();
        }
        assertFalse(budget.isAvailable());
    }

    @Test
    void twentyHedgedRequestsMayBeSentAtOnce() {
        spendWholeBudget(20);
    }

    @Test
    void fiveFirstAttemptsAllowOneHedgedRequest() {
        spendWholeBudget(20);
        for (int i = 0; i < 4; i++) {
            budget.onFirstAttempt();
            assertFalse(budget.isAvailable());
        }
        budget.onFirstAttempt();
        assertTrue(budget.isAvailable());
    }

    @Test
    void unusedBudgetIsLimitedToTwentyHedgedRequests() {
        for (int i = 0; i < 1_000; i++) {
            budget.onFirstAttempt();
        }
        spendWholeBudget(20);
    }
}

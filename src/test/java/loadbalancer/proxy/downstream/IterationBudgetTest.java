package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import io.netty.channel.embedded.EmbeddedChannel;

import org.junit.jupiter.api.Test;

/** The order of deferred work, and when the budget is renewed. */
class IterationBudgetTest {
    private static final int MAX_COST = 10;

    private final EmbeddedChannel loop = new EmbeddedChannel();
    private final IterationBudget budget = new IterationBudget(loop.eventLoop(), MAX_COST);
    private final List<String> done = new ArrayList<>();

    private void deferWork(String name, int cost) {
        budget.defer(() -> {
            done.add(name);
            budget.spend(cost);
        });
    }

    @Test
    void deferredWorkIsDoneInItsOrderAsFarAsEachIterationAllows() {
        deferWork("a", 6);
        deferWork("b", 6);
        deferWork("c", 6);
        assertEquals(List.of(), done);
        loop.runScheduledPendingTasks();
        assertEquals(List.of("a", "b"), done.subList(0, 2));
        while (done.size() < 3) {
            loop.runScheduledPendingTasks();
        }
        assertEquals(List.of("a", "b", "c"), done);
    }

    @Test
    void workThatDefersItselfDoesNotKeepOthersWaiting() {
        budget.defer(new Runnable() {
            @Override
            public void run() {
                done.add("greedy");
                budget.spend(MAX_COST);
                budget.defer(this);
            }
        });
        deferWork("other", 1);
        for (int i = 0; i < 4; i++) {
            loop.runScheduledPendingTasks();
        }
        assertTrue(done.indexOf("other") <= 1, done.toString());
    }

    @Test
    void budgetIsRenewedAfterTheIterationInWhichItWasExhausted() {
        budget.spend(MAX_COST);
        assertTrue(budget.isExhausted());
        loop.runScheduledPendingTasks();
        assertFalse(budget.isExhausted());
        assertEquals(MAX_COST, budget.costLeft());
    }
}

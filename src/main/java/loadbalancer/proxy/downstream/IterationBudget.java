package loadbalancer.proxy.downstream;

import java.util.ArrayDeque;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoopGroup;

/**
 * Limits the work of one kind that all clients together can cause in one iteration of the event loop, so that none of
 * them delays the others for long. Work beyond the limit is deferred to later iterations, in the order of its arrival.
 */
final class IterationBudget {
    private final EventLoopGroup loop;
    private final int maxCost;
    private final ArrayDeque<Runnable> deferred = new ArrayDeque<>();
    private int costLeft;
    private boolean isRenewalScheduled;

    /**
     * Creates a budget of which nothing is used up.
     *
     * @param maxCost the cost of the work that may be done in one iteration, in a unit of the caller's choice
     */
    IterationBudget(EventLoopGroup loop, int maxCost) {
        this.loop = loop;
        this.maxCost = maxCost;
        costLeft = maxCost;
    }

    /** Returns the cost of the work that may still be done in this iteration; not positive if there is none. */
    int costLeft() {
        return costLeft;
    }

    boolean isExhausted() {
        return costLeft <= 0;
    }

    /** Counts work that is done in this iteration. */
    void spend(int cost) {
        costLeft -= cost;
        // Little work needs no renewal in each iteration.
        if (costLeft < maxCost / 2) {
            scheduleRenewal();
        }
    }

    /** Has the work done after the current task, or in a later iteration if the budget is exhausted. */
    void execute(Runnable work) {
        if (isExhausted()) {
            defer(work);
        } else {
            loop.execute(work);
        }
    }

    /** Has the work done in a later iteration, behind all work that was deferred before. */
    void defer(Runnable work) {
        deferred.add(work);
        scheduleRenewal();
    }

    private void scheduleRenewal() {
        if (!isRenewalScheduled) {
            isRenewalScheduled = true;
            // A task without delay would run in this iteration; a scheduled one runs after the next reads.
            loop.schedule(this::renew, 0, TimeUnit.NANOSECONDS);
        }
    }

    private void renew() {
        isRenewalScheduled = false;
        costLeft = maxCost;
        try {
            while (!deferred.isEmpty() && !isExhausted()) {
                deferred.poll().run();
            }
        } finally {
            if (!deferred.isEmpty()) {
                scheduleRenewal();
            }
        }
    }
}

package loadbalancer.proxy.resources;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests when a budget reclaims memory, and the limits that follow from the memory of the process. */
class MemoryBudgetTest {
    private final MemoryBudget budget = new MemoryBudget(100);

    @Test
    void reservationWithinTheLimitReclaimsNothing() {
        MemoryBudget.Reservation reservation = budget.newReservation();
        budget.setReclaimer(() -> {
            throw new AssertionError("the budget is met");
        });
        assertTrue(reservation.resize(100));
        assertTrue(reservation.resize(40));
        assertEquals(40, budget.usedBytes());
    }

    @Test
    void reservationBeyondTheLimitReclaimsUntilTheLimitIsMet() {
        MemoryBudget.Reservation[] earlier = {budget.newReservation(), budget.newReservation(), budget.newReservation()
        };
        for (MemoryBudget.Reservation reservation : earlier) {
            reservation.resize(30);
        }
        int[] released = {0};
        budget.setReclaimer(() -> {
            earlier[released[0]].release();
            released[0]++;
            return true;
        });
        assertTrue(budget.newReservation().resize(60));
        assertEquals(2, released[0]);
        assertEquals(90, budget.usedBytes());
    }

    @Test
    void reservationReportsThatNothingCouldBeReclaimed() {
        MemoryBudget.Reservation reservation = budget.newReservation();
        assertFalse(reservation.resize(101));
        reservation.release();
        assertEquals(0, budget.usedBytes());
    }

    @Test
    void limitsFollowTheSmallerOfHeapAndMemoryOfTheProcess() {
        assertEquals(new MemoryLimits(24 << 20, 16 << 20), MemoryLimits.of(192 << 20, 64 << 20));
        assertEquals(new MemoryLimits(12 << 20, 8 << 20), MemoryLimits.of(96 << 20, 64 << 20));
        assertEquals(new MemoryLimits(24 << 20, 16 << 20), MemoryLimits.of(Long.MAX_VALUE, 64 << 20));
    }
}

package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.proxy.resources.ConnectionLimits;

/** Until when a node that ends goes on. */
class ShutdownScheduleTest {

    private static ShutdownSchedule schedule(long aimUs, long deadlineUs) {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        for (long part = 1; part <= 2; part++) {
            settings.classes.add(new RequestClass(
                    "c" + part,
                    aimUs / part,
                    0,
                    deadlineUs / part,
                    1,
                    0,
                    Idempotency.IDEMPOTENT,
                    DeduplicationScope.ALL,
                    0,
                    false));
        }
        return ShutdownSchedule.of(settings);
    }

    @ParameterizedTest
    @ValueSource(longs = {100_000, 1_000_000, 2_500_000, 3_000_000, 30_000_000})
    void allIsAnsweredBeforeTheNodeIsKilledAndWhatComesLastHasItsAim(long deadlineUs) {
        long aimUs = 380_000;
        ShutdownSchedule schedule = schedule(aimUs, deadlineUs);
        long killedUs = Math.min(3_000_000, deadlineUs) + 700_000;
        assertTrue(schedule.responseDeadlineUs() < killedUs);
        assertTrue(schedule.servingTimeUs() <= schedule.responseDeadlineUs());
        assertTrue(schedule.servingTimeUs() >= ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS * 1_000);
        if (deadlineUs >= 1_000_000) {
            assertEquals(schedule.responseDeadlineUs() - aimUs, schedule.servingTimeUs());
        }
    }

    @Test
    void anAimThatIsLongerThanTheGraceLeavesTheTimeInWhichConnectionsArrive() {
        assertEquals(
                ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS * 1_000,
                schedule(20_000_000, 30_000_000).servingTimeUs());
    }
}

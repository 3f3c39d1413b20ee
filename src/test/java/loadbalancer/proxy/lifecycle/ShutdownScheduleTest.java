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

/** The times of a graceful shutdown: how long requests are accepted, and when the last responses are due. */
class ShutdownScheduleTest {

    private static ShutdownSchedule schedule(long latencyObjectiveUs, long deadlineUs) {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        for (long divisor = 1; divisor <= 2; divisor++) {
            settings.classes.add(new RequestClass(
                    "c" + divisor,
                    latencyObjectiveUs / divisor,
                    0,
                    deadlineUs / divisor,
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
    void allResponsesPrecedeTheKillAndTheLastRequestKeepsItsLatencyObjective(long deadlineUs) {
        long latencyObjectiveUs = 380_000;
        ShutdownSchedule schedule = schedule(latencyObjectiveUs, deadlineUs);
        long killedAfterUs = Math.min(3_000_000, deadlineUs) + 700_000;
        assertTrue(schedule.responseDeadlineUs() < killedAfterUs);
        assertTrue(schedule.servingTimeUs() <= schedule.responseDeadlineUs());
        assertTrue(schedule.servingTimeUs() >= ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS * 1_000);
        if (deadlineUs >= 1_000_000) {
            assertEquals(schedule.responseDeadlineUs() - latencyObjectiveUs, schedule.servingTimeUs());
        }
    }

    @Test
    void requestsAreAcceptedWhileConnectionsArriveEvenIfTheLatencyObjectiveExceedsTheShutdownTime() {
        assertEquals(
                ConnectionLimits.ACCEPT_AFTER_SHUTDOWN_MS * 1_000,
                schedule(20_000_000, 30_000_000).servingTimeUs());
    }
}

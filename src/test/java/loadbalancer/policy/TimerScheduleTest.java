package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;

/** Tests when {@link TimerSchedule} sets the timer, and how it detects a suspension of the process. */
class TimerScheduleTest {
    private final RecordingActions actions = new RecordingActions();
    private final TimerSchedule timer = new TimerSchedule(actions);

    @Test
    void theTimerIsSetOnlyIfItIsEarlierThanThePendingOne() {
        timer.schedule(5_000, 0);
        timer.schedule(5_000, 0);
        timer.schedule(6_000, 0);
        timer.schedule(4_000, 0);
        assertEquals(List.of(5_000L, 4_000L), actions.timers);
    }

    @Test
    void aTimerThatIsOverdueIsSetToTheNextMicrosecond() {
        timer.schedule(5_000, 7_000);
        assertEquals(List.of(7_001L), actions.timers);
    }

    @Test
    void noTimerIsSetIfNothingIsDue() {
        timer.schedule(Long.MAX_VALUE, 0);
        assertEquals(List.of(), actions.timers);
    }

    @Test
    void aLaterTimerIsSetOnceThePendingOneHasFired() {
        timer.schedule(5_000, 0);
        timer.onFired(5_000);
        timer.schedule(9_000, 5_000);
        assertEquals(List.of(5_000L, 9_000L), actions.timers);
    }

    @Test
    void aTimerThatFiresBeforeThePendingOneIsDueLeavesItPending() {
        timer.schedule(5_000, 0);
        timer.onFired(4_000);
        timer.schedule(6_000, 4_000);
        assertEquals(List.of(5_000L), actions.timers);
    }

    @Test
    void aTimerThatFiresMoreThanFiftyMillisecondsLateShowsASuspension() {
        timer.schedule(5_000, 0);
        assertFalse(timer.onFired(55_000));
        timer.schedule(60_000, 55_000);
        assertTrue(timer.onFired(110_001));
        assertFalse(timer.onFired(900_000));
    }
}

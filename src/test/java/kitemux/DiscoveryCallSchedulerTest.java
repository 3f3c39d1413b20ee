package kitemux;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import kitemux.Balancer.Settings;
import kitemux.DiscoveryCallScheduler.Jitter;
import kitemux.DiscoveryCallScheduler.Timing;

/** Walks every order of what calls to discovery may meet, in virtual time. */
@Timeout(120)
class DiscoveryCallSchedulerTest {
    /**
     * A change counts as notified 6 s after discovery had it and could be reached. Half a second of grace follows, of
     * which 0.15 s are kept for a node that is held up.
     */
    private static final long NOTIFIED_US = 6_000_000 + 500_000 - 150_000;
    /** How long a call waits for its turn at most where discovery can be reached. */
    private static final long QUEUE_US = 3_000_000;

    private static final int DEPTH = 6;
    /** The watch, one elsewhere, and three calls that wait. */
    private static final int MOST_OPEN = 5;

    /** What a call may meet. */
    private enum Meets {
        /** A dial that hangs, no word, a head only. */
        HANGS,
        /** Refused, reset, 503 at once, garbage, a list that is dropped. */
        FAILS_AT_ONCE,
        /** 503 after two seconds. */
        FAILS_LATE,
        /** 503 after three seconds. */
        FAILS_LATER,
        /** A list, and the watch ends after a second. */
        ENDS,
        /** A list, and not a word more. */
        FALLS_SILENT,
        /** A heartbeat as the first word, and an end. */
        BEATS_AND_ENDS,
        /** A list after it has waited its turn, and an end. */
        QUEUED_AND_ENDS,
        /** No word; half a second on discovery moves (SIGHUP). */
        MOVES,
        /** None of these: a list once its turn has come, and a watch. */
        IS_SERVED
    }

    private static final Jitter SHORTEST = (least, most) -> least;
    private static final Jitter LONGEST = (least, most) -> most;

    /** Discovery in virtual time: the first calls meet a sequence, all later ones are served. */
    private static final class VirtualDiscovery implements DiscoveryCallScheduler.Calls {
        private record Event(long atUs, long call, Runnable runnable) {}

        private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atUs));
        private final DiscoveryCallScheduler scheduler;
        private final Meets[] sequence;
        private final List<Long> open = new ArrayList<>();
        private long nowUs;
        private int opened;
        private long reachableFromUs = -1;
        private long lastListAtUs = -1;
        private long servedAtUs = -1;

        VirtualDiscovery(Timing timing, Jitter jitter, Meets... sequence) {
            this.sequence = sequence;
            scheduler = new DiscoveryCallScheduler(timing, jitter, this);
        }

        @Override
        public void open(long call) {
            open.add(call);
            assertTrue(open.size() <= MOST_OPEN, () -> open.size() + " calls are open at once");
            Meets meets = opened < sequence.length ? sequence[opened] : Meets.IS_SERVED;
            opened++;
            if (opened == sequence.length) {
                reachableFromUs = nowUs;
            }
            switch (meets) {
                case HANGS -> {}
                case FAILS_AT_ONCE -> fail(call, 5_000, true);
                case FAILS_LATE -> fail(call, 2_000_000, true);
                case FAILS_LATER -> fail(call, 3_000_000, true);
                case FALLS_SILENT -> list(call, 10_000);
                case ENDS -> {
                    list(call, 10_000);
                    fail(call, 1_000_000, false);
                }
                case BEATS_AND_ENDS -> {
                    at(2_000_000, call, () -> scheduler.heard(nowUs, call));
                    fail(call, 2_500_000, false);
                }
                case QUEUED_AND_ENDS -> {
                    list(call, QUEUE_US);
                    fail(call, QUEUE_US + 10_000, false);
                }
                case MOVES -> at(500_000, 0, () -> scheduler.moved(nowUs));
                case IS_SERVED ->
                    at(QUEUE_US, call, () -> {
                        servedAtUs = nowUs;
                        scheduler.heard(nowUs, call);
                    });
                default -> throw new AssertionError(meets);
            }
        }

        private void list(long call, long afterUs) {
            at(afterUs, call, () -> {
                lastListAtUs = nowUs;
                scheduler.heard(nowUs, call);
            });
        }

        private void fail(long call, long afterUs, boolean refused) {
            at(afterUs, call, () -> {
                open.remove(call);
                scheduler.failed(nowUs, call, refused);
            });
        }

        /** Call 0 stands for what is no call's. */
        private void at(long afterUs, long call, Runnable runnable) {
            events.add(new Event(nowUs + afterUs, call, runnable));
        }

        @Override
        public void close(long call, String reason) {
            assertTrue(open.remove(call), "a call is closed that is not open");
        }

        /**
         * How long after the last call of the sequence began, or after the last list that came, a later call was
         * served: a change may be made right behind a list.
         */
        long servedAfterUs() {
            scheduler.start(0);
            while (servedAtUs < 0) {
                Event event = events.peek();
                if (event != null && event.atUs <= scheduler.wakeAtUs()) {
                    events.poll();
                    nowUs = event.atUs;
                    if (event.call == 0 || open.contains(event.call)) {
                        event.runnable.run();
                    }
                } else {
                    assertTrue(scheduler.wakeAtUs() != DiscoveryCallScheduler.NEVER, "it waits for nothing");
                    nowUs = Math.max(nowUs, scheduler.wakeAtUs());
                    scheduler.wake(nowUs);
                }
            }
            return servedAtUs - Math.max(reachableFromUs, lastListAtUs);
        }
    }

    private static Timing timing(int nodes) {
        Settings settings = new Settings();
        settings.listOnRequest = true;
        settings.nodes = nodes;
        return Timing.of(settings);
    }

    /** Counts the sequences up to a length and checks each. */
    private static int walk(Timing timing, Jitter jitter, Meets[] before) {
        if (before.length > 0) {
            long afterUs = new VirtualDiscovery(timing, jitter, before).servedAfterUs();
            assertTrue(
                    afterUs <= NOTIFIED_US,
                    () -> Arrays.toString(before) + ": a list " + afterUs + " us after discovery could be reached");
        }
        if (before.length == DEPTH) {
            return 1;
        }
        int visited = 1;
        Meets[] next = Arrays.copyOf(before, before.length + 1);
        for (Meets meets : Meets.values()) {
            if (meets != Meets.IS_SERVED) {
                next[before.length] = meets;
                visited += walk(timing, jitter, next.clone());
            }
        }
        return visited;
    }

    @ParameterizedTest
    @CsvSource({"1, true", "1, false", "5, true", "5, false", "120, true", "120, false"})
    void aListComesInTimeAfterEveryOrderOfFailures(int nodes, boolean longest) {
        int visited = walk(timing(nodes), longest ? LONGEST : SHORTEST, new Meets[0]);
        // 1 + 9 + 81 + ... + 9^6.
        assertEquals(597_871, visited);
        System.out.println("fleet of " + nodes + ": " + visited + " orders of failures walked");
    }

    @Test
    void aClientThatWaitsOutEachCallWouldFailTheWalk() {
        // Calls of 4 s and waits of 3.7 s, one after another, with nothing that is due after the last word.
        Timing oneAfterAnother = new Timing(4_000_000, 4_000_000, 3_000_000, 0, 375_000, 3_700_000);
        long afterUs = new VirtualDiscovery(oneAfterAnother, LONGEST, Meets.FAILS_LATER, Meets.HANGS).servedAfterUs();
        assertTrue(afterUs > NOTIFIED_US, afterUs + " us");
    }

    /** Records what is asked for, as text. */
    private static DiscoveryCallScheduler recording(List<String> asked) {
        return recording(20, asked);
    }

    private static DiscoveryCallScheduler recording(int nodes, List<String> asked) {
        return new DiscoveryCallScheduler(timing(nodes), LONGEST, new DiscoveryCallScheduler.Calls() {
            @Override
            public void open(long call) {
                asked.add("open " + call);
            }

            @Override
            public void close(long call, String reason) {
                asked.add("close " + call);
            }
        });
    }

    @Test
    void aCallThatWaitsItsTurnIsKeptBesideTheNextAndTheFirstToSpeakWins() {
        List<String> asked = new ArrayList<>();
        DiscoveryCallScheduler scheduler = recording(asked);
        scheduler.start(0);
        scheduler.wake(2_000_000);
        scheduler.heard(2_970_000, 1);
        assertEquals(List.of("open 1", "open 2", "close 2"), asked);
    }

    @Test
    void aSilentWatchIsKeptUntilAnotherCallSpeaksAndMaySpeakAgain() {
        List<String> asked = new ArrayList<>();
        DiscoveryCallScheduler scheduler = recording(asked);
        scheduler.start(0);
        scheduler.heard(10_000, 1);
        scheduler.wake(scheduler.wakeAtUs());
        scheduler.heard(2_600_000, 1);
        scheduler.wake(scheduler.wakeAtUs());
        scheduler.heard(5_200_000, 3);
        assertEquals(List.of("open 1", "open 2", "close 2", "open 3", "close 1"), asked);
    }

    @Test
    void afterAMoveTheOldWatchIsHeardUntilTheNewPlaceSpeaks() {
        List<String> asked = new ArrayList<>();
        DiscoveryCallScheduler scheduler = recording(asked);
        scheduler.start(0);
        scheduler.heard(10_000, 1);
        scheduler.moved(100_000);
        scheduler.heard(200_000, 1);
        scheduler.moved(300_000);
        scheduler.heard(400_000, 3);
        assertEquals(List.of("open 1", "open 2", "close 2", "open 3", "close 1"), asked);
    }

    @Test
    void aLargeFleetSpreadsItsFirstCallsAndLetsThemWaitAsLongAsDiscoveryDoes() {
        List<String> asked = new ArrayList<>();
        DiscoveryCallScheduler scheduler = recording(100, asked);
        scheduler.start(0);
        assertEquals(List.of(), asked);
        long firstCallUs = scheduler.wakeAtUs();
        assertEquals(2_000_000, firstCallUs);
        scheduler.wake(firstCallUs);
        assertTrue(scheduler.wakeAtUs() >= firstCallUs + QUEUE_US, "no call beside one that may have its turn");
    }

    @Test
    void aCallThatHasWaitedTellsThatDiscoveryIsCrowdedAndAQuickOneThatItIsNot() {
        List<String> asked = new ArrayList<>();
        DiscoveryCallScheduler scheduler = recording(asked);
        scheduler.start(0);
        scheduler.heard(1_900_000, 1);
        scheduler.failed(1_950_000, 1, false);
        long secondCallUs = scheduler.wakeAtUs();
        scheduler.wake(secondCallUs);
        long crowdedGapUs = scheduler.wakeAtUs() - secondCallUs;
        scheduler.heard(secondCallUs + 10_000, 2);
        scheduler.failed(secondCallUs + 20_000, 2, false);
        long thirdCallUs = scheduler.wakeAtUs();
        scheduler.wake(thirdCallUs);
        assertTrue(crowdedGapUs > scheduler.wakeAtUs() - thirdCallUs, crowdedGapUs + " us");
    }
}

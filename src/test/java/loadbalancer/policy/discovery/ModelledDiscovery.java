package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.PriorityQueue;

/**
 * A discovery in virtual time, to which a sequence of {@link Step}s happens, and one instance with the scheduler and the
 * lease of production. {@link NotificationRules} decides when a change counts as notified, without knowledge of the
 * lease.
 */
final class ModelledDiscovery implements DiscoveryCallActions {
    /** What happens to discovery, or to the connections that are open. */
    enum Step {
        /** The watch receives a heartbeat, unless it is silent. */
        HEARTBEAT,
        /** The watch falls silent, but stays open. */
        SILENCE,
        /** Discovery has a change, which a watch receives unless it is silent. */
        CHANGE,
        /** All open connections are reset. */
        RESET,
        /** All watches are completed in order. */
        WATCH_ENDS,
        /** Discovery refuses all calls from now on, and its watches are silent. */
        REFUSES,
        /** Discovery responds to calls with status 503 from now on. */
        REJECTS,
        /** Discovery accepts calls from now on, and sends nothing. */
        HANGS,
        /** Discovery sends a part of a list on each call from now on, and resets the call a second later. */
        SENDS_PARTS,
        /** Discovery serves calls from now on. */
        SERVES,
        /** A signal tells that discovery has another address. The old one closes its connections after 1.5 s. */
        MOVES
    }

    private static final long SERVICE_TIME_US = 10_000;
    private static final long REFUSAL_DELAY_US = 1_000;
    private static final long REJECTION_DELAY_US = 5_000;
    private static final long RESET_AFTER_PART_US = 1_000_000;
    private static final long CLOSE_AFTER_MOVE_US = 1_500_000;
    /** The time for which the model runs after the last step; longer than any lease. */
    private static final long OBSERVATION_US = 15_000_000;

    /** The drain grace of 0.5 s, less 0.15 s for a pause of the process. */
    private static final long GRACE_US = 500_000 - 150_000;

    private record Event(long atUs, long order, Runnable runnable) {}

    /** A call of the instance that is open. */
    private static final class OpenCall {
        private final int address;
        private boolean isWatch;
        private boolean isSilent;

        private OpenCall(int address) {
            this.address = address;
        }
    }

    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::atUs).thenComparingLong(Event::order));
    private final Map<DiscoveryCallId, OpenCall> openCalls = new HashMap<>();
    private final EndpointListLease lease;
    private final DiscoveryCallScheduler scheduler;
    private final NotificationRules rules;
    private final Step[] steps;
    private Step mode = Step.SERVES;
    private int address;
    private long nowUs;
    private long eventCount;
    private boolean hasBegun;

    ModelledDiscovery(
            DiscoveryCallTiming timing, EndpointListLeaseTerms terms, Jitter jitter, boolean isPolled, Step... steps) {
        this.steps = steps;
        rules = new NotificationRules(isPolled);
        lease = new EndpointListLease(terms);
        scheduler = new DiscoveryCallScheduler(timing, jitter, lease, this);
    }

    private void scheduleAfter(long delayUs, Runnable runnable) {
        events.add(new Event(nowUs + delayUs, eventCount++, runnable));
    }

    @Override
    public void open(DiscoveryCallId id) {
        OpenCall call = new OpenCall(address);
        openCalls.put(id, call);
        switch (mode) {
            case REFUSES -> scheduleAfter(REFUSAL_DELAY_US, () -> end(id, DiscoveryCallOutcome.CONNECTION_REFUSED));
            case REJECTS -> scheduleAfter(REJECTION_DELAY_US, () -> end(id, DiscoveryCallOutcome.FAILED));
            case HANGS -> {}
            case SENDS_PARTS -> {
                scheduleAfter(SERVICE_TIME_US, () -> sendPart(id));
                scheduleAfter(RESET_AFTER_PART_US, () -> end(id, DiscoveryCallOutcome.FAILED));
            }
            default -> scheduleAfter(SERVICE_TIME_US, () -> sendList(id));
        }
    }

    @Override
    public void close(DiscoveryCallId id, String reason) {
        assertTrue(openCalls.remove(id) != null, "the scheduler closed a call that is not open");
    }

    private void sendList(DiscoveryCallId id) {
        OpenCall call = openCalls.get(id);
        if (call != null) {
            call.isWatch = true;
            sendMessage(id);
        }
    }

    /** Sends all that discovery has on a watch: a list, or a heartbeat if there is nothing new. */
    private void sendMessage(DiscoveryCallId id) {
        if (openCalls.get(id).address == address) {
            rules.onListReceived();
        }
        scheduler.onMessage(nowUs, id);
        scheduler.onListConfirmed(nowUs, id);
    }

    private void sendPart(DiscoveryCallId id) {
        if (openCalls.containsKey(id)) {
            rules.onPartlyWritten(nowUs);
            scheduler.onPartialList(nowUs);
        }
    }

    private void end(DiscoveryCallId id, DiscoveryCallOutcome outcome) {
        OpenCall call = openCalls.remove(id);
        if (call == null) {
            return;
        }
        if (call.isWatch && call.address == address) {
            if (outcome == DiscoveryCallOutcome.COMPLETED) {
                rules.onWatchEnded(nowUs);
            } else {
                rules.onWatchReset(nowUs);
            }
        }
        scheduler.onCallEnded(nowUs, id, outcome);
    }

    private void endAll(boolean watchesOnly, DiscoveryCallOutcome outcome) {
        Map.copyOf(openCalls).forEach((id, call) -> {
            if (call.isWatch || !watchesOnly) {
                end(id, outcome);
            }
        });
    }

    private void silenceWatches() {
        for (OpenCall call : openCalls.values()) {
            if (call.isWatch && !call.isSilent) {
                call.isSilent = true;
                if (call.address == address) {
                    rules.onWatchSilent(nowUs);
                }
            }
        }
    }

    /** Sends a message on each watch that is not silent. Returns whether the current address has such a watch. */
    private boolean sendToWatches() {
        boolean isReceived = false;
        for (Map.Entry<DiscoveryCallId, OpenCall> open : Map.copyOf(openCalls).entrySet()) {
            OpenCall call = open.getValue();
            if (call.isWatch && !call.isSilent && openCalls.containsKey(open.getKey())) {
                isReceived |= call.address == address;
                sendMessage(open.getKey());
            }
        }
        return isReceived;
    }

    private void play(Step step) {
        switch (step) {
            case HEARTBEAT -> sendToWatches();
            case SILENCE -> silenceWatches();
            case CHANGE -> {
                if (!sendToWatches()) {
                    rules.onMissedChange(nowUs);
                }
            }
            case RESET -> endAll(false, DiscoveryCallOutcome.FAILED);
            case WATCH_ENDS -> endAll(true, DiscoveryCallOutcome.COMPLETED);
            case MOVES -> move();
            default -> switchTo(step);
        }
    }

    private void switchTo(Step newMode) {
        mode = newMode;
        if (mode == Step.REFUSES) {
            silenceWatches();
            rules.onUnreachable();
        } else {
            rules.onReachable(nowUs);
        }
    }

    private void move() {
        int previousAddress = address;
        address++;
        rules.onSignal(nowUs);
        scheduler.onDiscoveryMoved(nowUs, nowUs);
        scheduleAfter(CLOSE_AFTER_MOVE_US, () -> Map.copyOf(openCalls).forEach((id, call) -> {
            if (call.address == previousAddress) {
                end(id, DiscoveryCallOutcome.COMPLETED);
            }
        }));
    }

    /**
     * Plays the steps in these intervals, the first one after the lease has been granted, and checks at all times that no
     * lease is valid once the grace of a missed change has ended.
     */
    void run(long intervalUs) {
        scheduler.start(0);
        long endUs = Long.MAX_VALUE;
        while (nowUs < endUs) {
            Event event = events.peek();
            long nextUs = Math.min(event == null ? endUs : event.atUs, scheduler.nextTimerUs());
            checkLeaseUntil(nextUs);
            nowUs = Math.max(nowUs, nextUs);
            if (event != null && event.atUs <= nextUs) {
                events.poll().runnable.run();
            } else {
                scheduler.onTimer(nowUs);
            }
            if (!hasBegun && lease.isValid(nowUs)) {
                hasBegun = true;
                for (int i = 0; i < steps.length; i++) {
                    Step step = steps[i];
                    scheduleAfter((i + 1) * intervalUs, () -> play(step));
                }
                endUs = nowUs + steps.length * intervalUs + OBSERVATION_US;
            }
        }
    }

    private void checkLeaseUntil(long untilUs) {
        long notifiedAtUs = rules.firstNotificationUs();
        boolean isInTime =
                notifiedAtUs == Long.MAX_VALUE || Math.min(untilUs, lease.expiresAtUs()) <= notifiedAtUs + GRACE_US;
        assertTrue(
                isInTime,
                () -> Arrays.toString(steps) + ": a change counts as notified at " + notifiedAtUs
                        + " us, and the lease expires at " + lease.expiresAtUs() + " us");
    }
}

package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;

/**
 * A simulated discovery in virtual time. The first calls are handled as a sequence of {@link CallBehavior} says; all
 * later calls are served. After each event, it checks that the lease expires in time.
 */
final class VirtualDiscovery implements DiscoveryCallActions {
    /** The protocol counts a missed change as notified this long after discovery received it. */
    private static final long NOTIFICATION_DELAY_US = 6_000_000;
    /** The protocol counts all changes as notified this long after the signal that discovery has another address. */
    private static final long NOTIFICATION_DELAY_AFTER_MOVE_US = 4_000_000;
    /** The protocol counts a change that an ended watch missed as notified this long after the end of the watch. */
    private static final long NOTIFICATION_DELAY_AFTER_WATCH_END_US = 2_000_000;
    /** The drain grace of 0.5 s, less 0.15 s for a pause of the process. */
    private static final long GRACE_US = 500_000 - 150_000;

    /** The watch, one at the previous address, and three pending calls. */
    private static final int MAX_OPEN_CALLS = 5;

    private record Event(long atUs, DiscoveryCallId call, Runnable runnable) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atUs));
    private final EndpointListLease lease;
    private final DiscoveryCallScheduler scheduler;
    private final CallBehavior[] sequence;
    private final List<DiscoveryCallId> openCalls = new ArrayList<>();
    private long nowUs;
    private int callCount;
    private long lastSequenceCallAtUs = -1;
    private long servedAtUs = -1;

    /** Whether a call to the current address of discovery has ever received a message. */
    private boolean hasSentMessage;
    /** The time of the last message; the proxy may have missed changes after that time. */
    private long lastVerifiedAtUs;
    /**
     * The time at which changes count as notified after a partial list or an address change; only a list lifts this
     * limit.
     */
    private long maxNotifiedAtUs = Long.MAX_VALUE;
    /** The time at which the watch ended, or -1 if it has not ended. */
    private long watchEndedAtUs = -1;

    private DiscoveryCallId watch;
    /** The number of the first call to the current address of discovery. */
    private long firstCallNumberAtCurrentAddress = 1;

    VirtualDiscovery(
            DiscoveryCallTiming timing, EndpointListLeaseTerms terms, Jitter jitter, CallBehavior... sequence) {
        this.sequence = sequence;
        lease = new EndpointListLease(terms);
        scheduler = new DiscoveryCallScheduler(timing, jitter, lease, this);
    }

    @Override
    public void open(DiscoveryCallId call) {
        openCalls.add(call);
        assertTrue(openCalls.size() <= MAX_OPEN_CALLS, () -> openCalls.size() + " calls are open at the same time");
        CallBehavior behavior = callCount < sequence.length ? sequence[callCount] : CallBehavior.SERVED;
        callCount++;
        if (callCount == sequence.length) {
            lastSequenceCallAtUs = nowUs;
        }
        schedule(behavior, call);
    }

    private void schedule(CallBehavior behavior, DiscoveryCallId call) {
        switch (behavior) {
            case HANGS -> {}
            case CONNECTION_REFUSED -> refuseConnection(call);
            case FAILS_IMMEDIATELY -> fail(call, 5_000);
            case FAILS_AFTER_2_SECONDS -> fail(call, 2_000_000);
            case FAILS_AFTER_3_SECONDS -> fail(call, SchedulerFixture.MAX_QUEUE_TIME_US);
            case WATCH_HANGS -> sendMessage(call, 10_000);
            case WATCH_ENDS -> {
                sendMessage(call, 10_000);
                endWatch(call, 1_000_000);
            }
            case WATCH_IS_RESET -> {
                sendMessage(call, 10_000);
                fail(call, 1_000_000);
            }
            case PARTIAL_LIST -> sendPartialList(call);
            case HEARTBEAT_AND_END -> {
                sendMessage(call, 2_000_000);
                endWatch(call, 2_500_000);
            }
            case QUEUED_AND_ENDS -> {
                sendMessage(call, SchedulerFixture.MAX_QUEUE_TIME_US);
                endWatch(call, SchedulerFixture.MAX_QUEUE_TIME_US + 10_000);
            }
            case DISCOVERY_MOVES -> scheduleAfter(500_000, null, this::moveDiscovery);
            case SERVED -> {
                sendMessage(call, SchedulerFixture.MAX_QUEUE_TIME_US);
                scheduleAfter(SchedulerFixture.MAX_QUEUE_TIME_US, call, () -> servedAtUs = nowUs);
            }
            default -> throw new AssertionError(behavior);
        }
    }

    private void sendMessage(DiscoveryCallId call, long delayUs) {
        scheduleAfter(delayUs, call, () -> {
            if (call.number() >= firstCallNumberAtCurrentAddress) {
                hasSentMessage = true;
                lastVerifiedAtUs = nowUs;
                maxNotifiedAtUs = Long.MAX_VALUE;
                watchEndedAtUs = -1;
                watch = call;
            }
            scheduler.onMessage(nowUs, call);
            scheduler.onListConfirmed(nowUs, call);
        });
    }

    private void fail(DiscoveryCallId call, long delayUs) {
        scheduleAfter(delayUs, call, () -> {
            openCalls.remove(call);
            scheduler.onCallEnded(nowUs, call, DiscoveryCallOutcome.FAILED);
        });
    }

    private void endWatch(DiscoveryCallId call, long delayUs) {
        scheduleAfter(delayUs, call, () -> {
            openCalls.remove(call);
            if (call.equals(watch)) {
                watchEndedAtUs = nowUs;
            }
            scheduler.onCallEnded(nowUs, call, DiscoveryCallOutcome.COMPLETED);
        });
    }

    private void sendPartialList(DiscoveryCallId call) {
        scheduleAfter(10_000, call, () -> {
            maxNotifiedAtUs = Math.min(maxNotifiedAtUs, nowUs);
            scheduler.onPartialList(nowUs);
        });
        fail(call, 1_000_000);
    }

    private void refuseConnection(DiscoveryCallId call) {
        scheduleAfter(1_000, call, () -> {
            openCalls.remove(call);
            scheduler.onCallEnded(nowUs, call, DiscoveryCallOutcome.CONNECTION_REFUSED);
        });
    }

    private void moveDiscovery() {
        maxNotifiedAtUs = Math.min(maxNotifiedAtUs, nowUs + NOTIFICATION_DELAY_AFTER_MOVE_US);
        firstCallNumberAtCurrentAddress = callCount + 1L;
        scheduler.onDiscoveryMoved(nowUs, nowUs);
    }

    /**
     * Schedules an event of a call, or of discovery itself if the call is null. The event is dropped if the call is
     * closed.
     */
    private void scheduleAfter(long delayUs, DiscoveryCallId call, Runnable runnable) {
        events.add(new Event(nowUs + delayUs, call, runnable));
    }

    @Override
    public void close(DiscoveryCallId call, String reason) {
        assertTrue(openCalls.remove(call), "the scheduler closed a call that is not open");
    }

    /**
     * Returns whether the lease expires within the grace after a change that may have been missed counts as notified.
     */
    private boolean isLeaseExpiryInTime() {
        if (!hasSentMessage) {
            return lease.expiresAtUs() == EndpointListLease.NOT_GRANTED;
        }
        long notifiedAtUs = Math.min(maxNotifiedAtUs, lastVerifiedAtUs + NOTIFICATION_DELAY_US);
        if (watchEndedAtUs >= 0) {
            notifiedAtUs = Math.min(notifiedAtUs, watchEndedAtUs + NOTIFICATION_DELAY_AFTER_WATCH_END_US);
        }
        return lease.expiresAtUs() <= notifiedAtUs + GRACE_US;
    }

    /**
     * Runs until a call is served, and returns the time from the last call of the sequence to the message of the served
     * call.
     */
    long measureRecoveryUs() {
        scheduler.start(0);
        while (servedAtUs < 0) {
            Event event = events.peek();
            if (event != null && event.atUs <= scheduler.nextTimerUs()) {
                events.poll();
                nowUs = event.atUs;
                if (event.call == null || openCalls.contains(event.call)) {
                    event.runnable.run();
                }
            } else {
                assertTrue(
                        scheduler.nextTimerUs() != DiscoveryCallScheduler.NEVER,
                        "no event is pending and the scheduler has no timer");
                nowUs = Math.max(nowUs, scheduler.nextTimerUs());
                scheduler.onTimer(nowUs);
            }
            assertTrue(
                    isLeaseExpiryInTime(),
                    () -> Arrays.toString(sequence) + ": the lease expires too late, at " + lease.expiresAtUs()
                            + " us; changes may have been missed since " + lastVerifiedAtUs + " us");
        }
        assertTrue(lease.isValid(nowUs), "the served call did not renew the lease");
        return servedAtUs - lastSequenceCallAtUs;
    }
}

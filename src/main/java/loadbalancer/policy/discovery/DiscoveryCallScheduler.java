package loadbalancer.policy.discovery;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Decides when the proxy calls discovery and which calls stay open. A call requests all changes since the last endpoint
 * list. The first call that receives a message becomes the watch, on which later changes arrive.
 *
 * <p>The scheduler passes each event to {@link EndpointListLease}, which decides whether requests may be routed. No
 * call therefore has to succeed within a time limit. The schedule is a compromise between a short time without a lease
 * and a low load on discovery. Discovery serves one call after another, spends time on rejected calls too, and is
 * overloaded if many instances call at the same time. For this reason the delay before a call grows with the number of
 * instances and with repeated failures, and a call that discovery may have queued stays open while the next one is
 * opened.
 *
 * <p>An unresponsive watch stays open until another call receives a message. A watch at a previous address of discovery
 * stays open until a call to the new address receives one. At most {@value #MAX_PENDING_CALLS} calls wait for their
 * first message.
 *
 * <p>All times are microseconds of the proxy's clock.
 */
public final class DiscoveryCallScheduler {
    /** The value of {@link #nextTimerUs} if no timer is needed until the next event. */
    public static final long NEVER = Long.MAX_VALUE;

    private static final int MAX_PENDING_CALLS = 3;

    /** The time that is reserved at the end of a valid lease for the call that renews it. */
    private static final long LEASE_RENEWAL_MARGIN_US = 1_000_000;

    private static final int FAILURES_BEFORE_DOUBLING = 5;
    private static final int MAX_DELAY_DOUBLINGS = 2;
    private static final long MIN_RETRY_DELAY_US = 100_000;

    private final DiscoveryCallTiming timing;
    private final Jitter jitter;
    private final EndpointListLease lease;
    private final DiscoveryCallActions actions;

    /** The open calls that have not received a message, oldest first. */
    private final Set<DiscoveryCallId> pendingCalls = new LinkedHashSet<>();

    private DiscoveryCallId lastCall = new DiscoveryCallId(0);
    /** The call on which changes of the endpoint list arrive, or null. */
    private DiscoveryCallId watch;
    /**
     * The watch at the previous address of discovery, until the new address has sent a message; null if there is none.
     */
    private DiscoveryCallId previousAddressWatch;

    private long nextCallAtUs = NEVER;
    private int failuresSinceConfirmation;

    /** Creates a scheduler that opens no call before {@link #start}. */
    public DiscoveryCallScheduler(
            DiscoveryCallTiming timing, Jitter jitter, EndpointListLease lease, DiscoveryCallActions actions) {
        this.timing = timing;
        this.jitter = jitter;
        this.lease = lease;
        this.actions = actions;
    }

    /** Returns the time at which {@link #onTimer} is due, or {@link #NEVER}. */
    public long nextTimerUs() {
        return nextCallAtUs;
    }

    /** Schedules the first call, and opens it immediately if its delay is 0. */
    public void start(long nowUs) {
        nextCallAtUs = nowUs + jitter.between(0, timing.maxInitialDelayUs());
        onTimer(nowUs);
    }

    /**
     * Schedules a call to the new address of discovery. The watch at the previous address stays open until the new
     * address has sent a message.
     *
     * @param signalledAtUs when the process received the signal to reload its configuration, which may be before
     *     {@code nowUs}
     */
    public void onDiscoveryMoved(long nowUs, long signalledAtUs) {
        lease.onDiscoveryMoved(signalledAtUs);
        closePendingCalls("discovery has another address");
        if (watch != null) {
            closePreviousAddressWatch();
            previousAddressWatch = watch;
            watch = null;
        }
        nextCallAtUs = nowUs + jitter.between(0, maxInitialDelayUs(nowUs));
        onTimer(nowUs);
    }

    /** Handles a message on a call: an endpoint list, or a heartbeat that confirms the current list. */
    public void onMessage(long nowUs, DiscoveryCallId call) {
        if (call.equals(previousAddressWatch)) {
            return;
        }
        if (!call.equals(watch)) {
            replaceWatch(call);
        }
        closePendingCalls("the watch has received a message");
        scheduleCallAfterTimeout(nowUs);
    }

    private void replaceWatch(DiscoveryCallId call) {
        pendingCalls.remove(call);
        if (watch != null) {
            actions.close(watch, "a newer call has become the watch");
        }
        watch = call;
        closePreviousAddressWatch();
    }

    /**
     * Renews the lease after messages of the watch have confirmed the endpoint list of the proxy. Ignores other calls.
     */
    public void onListConfirmed(long nowUs, DiscoveryCallId call) {
        if (call.equals(watch)) {
            lease.onListConfirmed(nowUs);
            failuresSinceConfirmation = 0;
            scheduleCallAfterTimeout(nowUs);
        }
    }

    /** Limits the lease: an endpoint list has begun to arrive, or has arrived and cannot be used. */
    public void onPartialList(long nowUs) {
        lease.onPartialList(nowUs);
    }

    /**
     * Schedules the call that is opened if the watch becomes unresponsive. The watches of all instances may become
     * unresponsive at the same time, so the call has a random delay.
     */
    private void scheduleCallAfterTimeout(long nowUs) {
        long timeoutAtUs = nowUs + timing.watchTimeoutUs();
        nextCallAtUs = timeoutAtUs + jitter.between(0, maxInitialDelayUs(timeoutAtUs));
    }

    /** Schedules the next call after a call that the scheduler did not close has ended. */
    public void onCallEnded(long nowUs, DiscoveryCallId call, DiscoveryCallOutcome outcome) {
        updateLease(nowUs, call, outcome);
        if (call.equals(previousAddressWatch)) {
            previousAddressWatch = null;
        } else if (call.equals(watch)) {
            watch = null;
            if (pendingCalls.isEmpty()) {
                scheduleCallWithin(nowUs, Math.max(maxInitialDelayUs(nowUs), timing.minDelayBoundAfterWatchUs()));
            }
        } else if (pendingCalls.remove(call) && pendingCalls.isEmpty()) {
            countFailure(outcome);
            scheduleCallWithin(nowUs, timing.maxRetryDelayUs() << delayDoublings());
        }
    }

    private void updateLease(long nowUs, DiscoveryCallId call, DiscoveryCallOutcome outcome) {
        if (!call.equals(watch)) {
            return;
        }
        if (outcome == DiscoveryCallOutcome.COMPLETED) {
            lease.onWatchEnded(nowUs);
        } else {
            lease.onWatchReset(nowUs);
        }
    }

    /** Repeated failures double the delay, because discovery may be overloaded. A call that it refuses costs it nothing. */
    private void countFailure(DiscoveryCallOutcome outcome) {
        if (outcome != DiscoveryCallOutcome.CONNECTION_REFUSED) {
            failuresSinceConfirmation++;
        }
    }

    private int delayDoublings() {
        return Math.max(0, Math.min(MAX_DELAY_DOUBLINGS, failuresSinceConfirmation - FAILURES_BEFORE_DOUBLING));
    }

    /** Opens a call if the time of {@link #nextTimerUs} has been reached. */
    public void onTimer(long nowUs) {
        if (nowUs >= nextCallAtUs) {
            openCall(nowUs);
        }
    }

    /**
     * Returns the maximum delay of a call that all instances may open at the same time. The delay ends early enough for
     * the call to renew a valid lease.
     */
    private long maxInitialDelayUs(long nowUs) {
        if (!lease.isValid(nowUs)) {
            return timing.maxInitialDelayUs();
        }
        long untilRenewalUs = lease.expiresAtUs() - LEASE_RENEWAL_MARGIN_US - nowUs;
        return Math.max(0, Math.min(timing.maxInitialDelayUs(), untilRenewalUs));
    }

    private void scheduleCallWithin(long nowUs, long maxDelayUs) {
        nextCallAtUs = nowUs + jitter.between(Math.min(maxDelayUs, MIN_RETRY_DELAY_US), maxDelayUs);
    }

    private void openCall(long nowUs) {
        if (pendingCalls.size() == MAX_PENDING_CALLS) {
            DiscoveryCallId oldest = pendingCalls.iterator().next();
            pendingCalls.remove(oldest);
            actions.close(oldest, "no message, and too many calls are pending");
        }
        lastCall = lastCall.next();
        pendingCalls.add(lastCall);
        nextCallAtUs = nowUs + timing.hedgeDelayUs();
        actions.open(lastCall);
    }

    private void closePendingCalls(String reason) {
        List<DiscoveryCallId> calls = List.copyOf(pendingCalls);
        pendingCalls.clear();
        calls.forEach(call -> actions.close(call, reason));
    }

    private void closePreviousAddressWatch() {
        if (previousAddressWatch != null) {
            actions.close(previousAddressWatch, "discovery has another address");
            previousAddressWatch = null;
        }
    }
}

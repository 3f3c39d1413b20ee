package loadbalancer.proxy.discovery;

import java.util.concurrent.TimeUnit;
import java.util.function.LongConsumer;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

import loadbalancer.policy.discovery.EndpointListLease;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;
import loadbalancer.proxy.resources.Clock;

/** Reports changes of the expiry of the endpoint list lease, and logs when the lease is granted and when it is lost. */
final class LeaseMonitor {
    /** Timers may fire early, by less than this time. */
    private static final long TIMER_PRECISION_MS = 1;

    private final EventLoop loop;
    private final Clock clock;
    private final EndpointListLease lease;
    private final EndpointListVersion version;
    private final LongConsumer expiryListener;
    private long reportedExpiryUs = EndpointListLease.NOT_GRANTED;
    /** The timer of the expiry, or null if the lease was last reported as expired. */
    private Future<?> expiryTimer;

    private long grants;
    private long losses;

    /**
     * Creates a monitor of a lease.
     *
     * @param version the version of the endpoint list, for the log
     * @param expiryListener receives the expiry in microseconds when it changes, and again when it has passed
     */
    LeaseMonitor(
            EventLoop loop,
            Clock clock,
            EndpointListLease lease,
            EndpointListVersion version,
            LongConsumer expiryListener) {
        this.loop = loop;
        this.clock = clock;
        this.lease = lease;
        this.version = version;
        this.expiryListener = expiryListener;
    }

    /** Reports the expiry if an event has changed it, with the event as the reason in the log. */
    void onLeaseUpdated(String reason) {
        if (lease.expiresAtUs() != reportedExpiryUs) {
            reportedExpiryUs = lease.expiresAtUs();
            report(reason);
        }
    }

    private void report(String reason) {
        boolean wasValid = expiryTimer != null;
        if (wasValid) {
            expiryTimer.cancel(false);
        }
        long remainingUs = reportedExpiryUs - clock.nowUs();
        boolean isValid = remainingUs > 0;
        expiryTimer = isValid ? loop.schedule(this::onExpiryTimer, remainingUs, TimeUnit.MICROSECONDS) : null;
        if (isValid && !wasValid) {
            grants++;
            log("granted", reason);
        } else if (wasValid && !isValid) {
            losses++;
            log("lost", reason);
        }
        expiryListener.accept(reportedExpiryUs);
    }

    private void onExpiryTimer() {
        if (lease.isValid(clock.nowUs())) {
            expiryTimer = loop.schedule(this::onExpiryTimer, TIMER_PRECISION_MS, TimeUnit.MILLISECONDS);
        } else {
            report("the endpoint list was not confirmed in time");
        }
    }

    private void log(String action, String reason) {
        EventLog.event(LogEvent.named("endpoint_list_lease")
                .with("action", action)
                .with("reason", reason)
                .with("version", version.number())
                .with("grants", grants)
                .with("losses", losses));
    }
}

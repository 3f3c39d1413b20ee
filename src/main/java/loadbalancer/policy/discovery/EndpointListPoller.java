package loadbalancer.policy.discovery;

import java.util.SplittableRandom;

import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.LoadBalancerSettings;

/** Decides when the endpoint list is polled, for a caller that does not keep a watch open by itself. */
public final class EndpointListPoller {
    /** The value of {@link #nextPollUs} while no poll is scheduled. */
    public static final long NEVER = Long.MAX_VALUE;

    private final LoadBalancerSettings settings;
    private final SplittableRandom random;
    private final LoadBalancerActions actions;
    private final DiscoveryBackoff backoff;
    private long nextPollUs = NEVER;

    /** Creates a poller without a scheduled poll. */
    public EndpointListPoller(LoadBalancerSettings settings, SplittableRandom random, LoadBalancerActions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        backoff = new DiscoveryBackoff(settings.instances, settings.pollIntervalUs);
    }

    /**
     * Polls immediately after a cached list, which may be out of date; cancels the scheduled poll after any other list.
     * Does nothing if lists are pushed.
     */
    public void onEndpointList(EndpointListKind kind, long nowUs) {
        if (!settings.endpointListPolled) {
            return;
        }
        if (kind == EndpointListKind.CACHED) {
            poll(nowUs);
        } else {
            nextPollUs = NEVER;
            backoff.onListReceived();
        }
    }

    /** Schedules the next poll after a poll has failed, or the watch that the poll became has ended. */
    public void onPollFailed(long nowUs) {
        nextPollUs = nowUs + backoff.nextDelayUs(random);
    }

    /** Polls if the time of {@link #nextPollUs} has been reached. */
    public void onTimer(long nowUs) {
        if (nowUs >= nextPollUs) {
            poll(nowUs);
        }
    }

    /** Returns the time at which {@link #onTimer} is due, or {@link #NEVER}. */
    public long nextPollUs() {
        return nextPollUs;
    }

    private void poll(long nowUs) {
        actions.watchEndpointList();
        nextPollUs = nowUs + Math.max(1, settings.pollIntervalUs / 2);
    }
}

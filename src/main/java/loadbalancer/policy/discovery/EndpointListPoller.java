package loadbalancer.policy.discovery;

import java.util.SplittableRandom;

import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.LoadBalancerSettings;

/** Where the caller has no watch of its own: decides when the endpoint list is polled. */
public final class EndpointListPoller {
    /** {@link #nextPollUs} while no poll is due. */
    public static final long NEVER = Long.MAX_VALUE;

    private final LoadBalancerSettings settings;
    private final SplittableRandom random;
    private final LoadBalancerActions actions;
    private final DiscoveryBackoff backoff;
    private long nextPollUs = NEVER;

    /** A poller that has not polled yet. */
    public EndpointListPoller(LoadBalancerSettings settings, SplittableRandom random, LoadBalancerActions actions) {
        this.settings = settings;
        this.random = random;
        this.actions = actions;
        backoff = new DiscoveryBackoff(settings.instances, settings.pollIntervalUs);
    }

    /** An endpoint list has come: a cached one has to be brought up to date, any other is. */
    public void onEndpointList(EndpointListKind kind, long nowUs) {
        if (!settings.endpointListPolled) {
            return;
        }
        if (kind == EndpointListKind.CACHED) {
            poll(nowUs);
        } else {
            nextPollUs = NEVER;
            backoff.succeeded();
        }
    }

    /** A poll has failed, or the watch that it had become. */
    public void onPollFailed(long nowUs) {
        nextPollUs = nowUs + backoff.nextWaitUs(random);
    }

    /** Polls if it is due. */
    public void onTimer(long nowUs) {
        if (nowUs >= nextPollUs) {
            poll(nowUs);
        }
    }

    /** When {@link #onTimer} is due, or {@link #NEVER}. */
    public long nextPollUs() {
        return nextPollUs;
    }

    private void poll(long nowUs) {
        actions.watchEndpointList();
        nextPollUs = nowUs + Math.max(1, settings.pollIntervalUs / 2);
    }
}

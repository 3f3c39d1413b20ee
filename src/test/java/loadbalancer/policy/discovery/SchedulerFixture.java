package loadbalancer.policy.discovery;

import java.util.List;

import loadbalancer.policy.LoadBalancerSettings;

/** Creates settings, delays and schedulers for the tests of {@link DiscoveryCallScheduler}. */
final class SchedulerFixture {
    /** The maximum time for which a reachable discovery queues a call. */
    static final long MAX_QUEUE_TIME_US = 3_000_000;

    static final Jitter SHORTEST_DELAY = (min, max) -> min;
    static final Jitter LONGEST_DELAY = (min, max) -> max;

    private SchedulerFixture() {}

    static LoadBalancerSettings settings(int instances) {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.endpointListPolled = true;
        settings.drainGraceUs = 500_000;
        settings.instances = instances;
        return settings;
    }

    static DiscoveryCallTiming timing(int instances) {
        return DiscoveryCallTiming.of(settings(instances));
    }

    static EndpointListLeaseTerms terms() {
        return EndpointListLeaseTerms.of(settings(1));
    }

    /** Creates a scheduler whose actions are added to a list as text, such as {@code open 1}. */
    static DiscoveryCallScheduler newRecordingScheduler(int instances, List<String> actions) {
        return newScheduler(instances, new EndpointListLease(terms()), actions);
    }

    /** Creates a scheduler of this lease, whose actions are added to a list as text. */
    static DiscoveryCallScheduler newScheduler(int instances, EndpointListLease lease, List<String> actions) {
        DiscoveryCallActions recorder = new DiscoveryCallActions() {
            @Override
            public void open(DiscoveryCallId call) {
                actions.add("open " + call.number());
            }

            @Override
            public void close(DiscoveryCallId call, String reason) {
                actions.add("close " + call.number());
            }
        };
        return new DiscoveryCallScheduler(timing(instances), LONGEST_DELAY, lease, recorder);
    }
}

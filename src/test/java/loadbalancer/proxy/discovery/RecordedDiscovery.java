package loadbalancer.proxy.discovery;

import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;

import io.netty.channel.socket.nio.NioSocketChannel;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.discovery.DiscoveryCallTiming;
import loadbalancer.policy.discovery.EndpointListLeaseTerms;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.resources.SystemClock;

/** A {@link DiscoveryClient} that runs without a proxy, and the events that it reports, recorded as text. */
final class RecordedDiscovery implements DiscoveryClient.Listener {
    /** The event that is recorded when a call has ended. */
    static final String CALL_ENDED = "call ended";

    /** An entry of an endpoint list, in the form of {@link ProxyFixture#list}. */
    static final String ENTRY = "s0=10.0.0.1:80=Ready";

    /** The timing of an instance that polls its endpoint list. */
    static final DiscoveryCallTiming DEFAULT_TIMING = DiscoveryCallTiming.of(polledSettings());

    private static final String CACHED_LIST = ProxyFixture.list(41, true);

    final DiscoveryClient client;
    /** The applied lists, such as {@code 43 complete 2}, and {@link #CALL_ENDED}, in order. */
    final BlockingQueue<String> events = new LinkedBlockingQueue<>();
    /** The reasons for which calls have ended, in order. */
    final BlockingQueue<String> endReasons = new LinkedBlockingQueue<>();

    private RecordedDiscovery(ProxyFixture proxy, DiscoveryCallTiming timing) throws Exception {
        client = new DiscoveryClient(
                proxy.loop,
                proxy.config(CACHED_LIST),
                timing,
                EndpointListLeaseTerms.of(proxy.settings),
                new SystemClock(),
                this,
                NioSocketChannel::new);
    }

    /** Starts a client that calls the discovery of a proxy fixture. The proxy itself does not run. */
    static RecordedDiscovery start(ProxyFixture proxy, DiscoveryCallTiming timing) throws Exception {
        RecordedDiscovery recorded = new RecordedDiscovery(proxy, timing);
        proxy.loop.execute(recorded.client::start);
        return recorded;
    }

    static LoadBalancerSettings polledSettings() {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.endpointListPolled = true;
        return settings;
    }

    @Override
    public void onEndpointList(EndpointList list) {
        events.add(list.version()
                + (list.isComplete() ? " complete " : " changes ")
                + list.endpoints().size());
    }

    @Override
    public void onCallEnded(String reason) {
        events.add(CALL_ENDED);
        endReasons.add(reason);
    }
}

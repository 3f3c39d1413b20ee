package loadbalancer.proxy.discovery;

import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.util.concurrent.Future;

import loadbalancer.policy.discovery.DiscoveryCallActions;
import loadbalancer.policy.discovery.DiscoveryCallId;
import loadbalancer.policy.discovery.DiscoveryCallOutcome;
import loadbalancer.policy.discovery.DiscoveryCallScheduler;
import loadbalancer.policy.discovery.DiscoveryCallTiming;
import loadbalancer.policy.discovery.EndpointListLease;
import loadbalancer.policy.discovery.EndpointListLeaseTerms;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.config.EndpointListDecoder;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.HeapBuffers;
import loadbalancer.proxy.resources.HeapReadAllocator;

/**
 * The client of discovery. Opens and closes the calls that {@link DiscoveryCallScheduler} schedules, and passes their
 * endpoint lists to a listener. All methods must be called on the event loop.
 */
public final class DiscoveryClient implements DiscoveryCallActions {
    /** Receives the endpoint lists of discovery and the expiry of their lease. */
    public interface Listener {
        /** Applies a list that has arrived. */
        void onEndpointList(EndpointList list);

        /**
         * Called when the expiry of the lease, in microseconds of the proxy's clock, has changed or has just passed.
         */
        default void onLeaseChanged(long expiresAtUs) {}

        /** Called when a call or a watch has ended. The client schedules the next call itself. */
        default void onCallEnded(String reason) {}
    }

    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final Clock clock;
    private final Listener listener;
    private final Bootstrap bootstrap;
    private final DiscoveryCallScheduler scheduler;
    private final LeaseMonitor leaseMonitor;
    private final EndpointListVersion version;
    private final FallbackListDecoder decoder;
    private final Map<DiscoveryCallId, DiscoveryCall> openCalls = new HashMap<>();
    private InetSocketAddress address;
    /** The number of address changes of discovery. */
    private int addressGeneration;

    private boolean isStarted;
    private Future<?> schedulerTimer;

    /** Creates a client that opens no call before {@link #start}. */
    public DiscoveryClient(
            EventLoop loop,
            ProxyConfiguration config,
            DiscoveryCallTiming timing,
            EndpointListLeaseTerms leaseTerms,
            Clock clock,
            Listener listener,
            ChannelFactory<? extends SocketChannel> channelFactory) {
        this.loop = loop;
        this.clock = clock;
        this.listener = listener;
        address = config.discovery();
        decoder = new FallbackListDecoder(new EndpointListDecoder(config.settings().zones));
        version = new EndpointListVersion(config.cachedEndpoints().version());
        EndpointListLease lease = new EndpointListLease(leaseTerms);
        leaseMonitor = new LeaseMonitor(loop, clock, lease, version, listener::onLeaseChanged);
        SplittableRandom random = new SplittableRandom(config.seed());
        scheduler = new DiscoveryCallScheduler(timing, (min, max) -> random.nextLong(min, max + 1), lease, this);
        bootstrap = newBootstrap(loop, channelFactory);
    }

    private static Bootstrap newBootstrap(EventLoop loop, ChannelFactory<? extends SocketChannel> channelFactory) {
        return new Bootstrap()
                .group(loop)
                .channelFactory(channelFactory)
                .option(ChannelOption.ALLOCATOR, HeapBuffers.ALLOCATOR)
                .option(ChannelOption.RECVBUF_ALLOCATOR, new HeapReadAllocator())
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec());
                    }
                });
    }

    /** Starts to call discovery. Does nothing if the client has already been started. */
    public void start() {
        if (!isStarted) {
            isStarted = true;
            scheduler.start(clock.nowUs());
            rescheduleTimer();
        }
    }

    /**
     * Calls discovery at another address from now on. The next call requests the complete list, because versions of the
     * two addresses cannot be compared. Does nothing if the address has not changed.
     *
     * @param signalledAtUs when the process received the signal to reload its configuration
     */
    public void moveTo(InetSocketAddress newAddress, long signalledAtUs) {
        if (newAddress.equals(address)) {
            return;
        }
        EventLog.event(LogEvent.named("discovery_moved").with("from", address).with("to", newAddress));
        address = newAddress;
        addressGeneration++;
        version.onDiscoveryMoved();
        if (isStarted) {
            scheduler.onDiscoveryMoved(clock.nowUs(), signalledAtUs);
            rescheduleTimer();
            leaseMonitor.onLeaseUpdated("discovery has another address");
        }
    }

    @Override
    public void open(DiscoveryCallId id) {
        ChannelFuture connect = bootstrap.connect(address);
        DiscoveryCall call = new DiscoveryCall(id, addressGeneration, this, connect.channel(), clock);
        openCalls.put(id, call);
        // If no socket was available, the future completes on a thread other than that of the event loop.
        connect.addListener(done -> loop.execute(() -> call.onConnectCompleted(connect, version.comparableOrNone())));
    }

    @Override
    public void close(DiscoveryCallId id, String reason) {
        openCalls.remove(id).close(reason);
    }

    private void rescheduleTimer() {
        if (schedulerTimer != null) {
            schedulerTimer.cancel(false);
        }
        long dueAtUs = scheduler.nextTimerUs();
        schedulerTimer = dueAtUs == DiscoveryCallScheduler.NEVER
                ? null
                : loop.schedule(this::onSchedulerTimer, Math.max(0, dueAtUs - clock.nowUs()), TimeUnit.MICROSECONDS);
    }

    private void onSchedulerTimer() {
        scheduler.onTimer(clock.nowUs());
        rescheduleTimer();
    }

    EndpointListVersion version() {
        return version;
    }

    FallbackListDecoder decoder() {
        return decoder;
    }

    /** Tells the scheduler that a call has received lists or a heartbeat. */
    void onMessage(DiscoveryCall call) {
        scheduler.onMessage(clock.nowUs(), call.id());
        rescheduleTimer();
    }

    /** Renews the lease if the call is the watch, because its messages confirm the list that was applied last. */
    void onListConfirmed(DiscoveryCall call) {
        scheduler.onListConfirmed(clock.nowUs(), call.id());
        rescheduleTimer();
        leaseMonitor.onLeaseUpdated("discovery has confirmed the endpoint list");
    }

    /** Limits the lease, because a list is incomplete so far or cannot be used. */
    void onPartialList() {
        scheduler.onPartialList(clock.nowUs());
        leaseMonitor.onLeaseUpdated("an endpoint list is incomplete or cannot be used");
    }

    /** Handles the end of a call that the scheduler did not close. */
    void onCallEnded(DiscoveryCall call, DiscoveryCallOutcome outcome, String reason) {
        openCalls.remove(call.id());
        scheduler.onCallEnded(clock.nowUs(), call.id(), outcome);
        rescheduleTimer();
        leaseMonitor.onLeaseUpdated(reason);
        listener.onCallEnded(reason);
    }

    /**
     * Returns whether the current version can be compared with the versions of the discovery that a call is connected
     * to.
     */
    boolean isVersionComparable(DiscoveryCall call) {
        return isAtCurrentAddress(call) && version.isComparable();
    }

    private boolean isAtCurrentAddress(DiscoveryCall call) {
        return call.addressGeneration() == addressGeneration;
    }

    /**
     * Applies a list unless its version forbids it. Lists from a previous address of discovery are applied too, but
     * their versions are not stored.
     *
     * @return whether the list was applied
     */
    boolean apply(DiscoveryCall call, EndpointList list, boolean isFirstMessage) {
        boolean isAccepted = !isAtCurrentAddress(call) || version.accept(list, isFirstMessage);
        if (isAccepted) {
            listener.onEndpointList(list);
        }
        return isAccepted;
    }
}

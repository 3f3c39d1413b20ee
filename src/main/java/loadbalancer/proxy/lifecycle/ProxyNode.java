package loadbalancer.proxy.lifecycle;

import java.net.SocketAddress;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.discovery.DiscoveryCallTiming;
import loadbalancer.policy.discovery.EndpointListLease;
import loadbalancer.policy.discovery.EndpointListLeaseTerms;
import loadbalancer.policy.log.PolicyEvent;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.downstream.BadRequestException;
import loadbalancer.proxy.downstream.ClientConnection;
import loadbalancer.proxy.downstream.ClientRequest;
import loadbalancer.proxy.downstream.ClientRequestHandler;
import loadbalancer.proxy.downstream.ClientRequestParser;
import loadbalancer.proxy.downstream.DownstreamServer;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.DescriptorBudget;
import loadbalancer.proxy.resources.MemoryBudget;
import loadbalancer.proxy.resources.MemoryLimits;
import loadbalancer.proxy.routing.PolicyEventQueue;
import loadbalancer.proxy.routing.RequestRouter;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * A proxy node that serves clients over sockets. It notifies the decision module of requests, attempt outcomes and
 * endpoint lists, and executes the actions that the module requests. It makes no decisions itself, and runs on one
 * event loop.
 */
public final class ProxyNode implements LoadBalancerActions {
    /** The maximum number of attempts to open the listener. With the interval below, they last two seconds. */
    private static final int MAX_LISTEN_ATTEMPTS = 40;

    private static final long LISTEN_RETRY_INTERVAL_MS = 50;
    /**
     * The time after the start at which a node reports readiness even without a lease. If discovery responds to no
     * node, a front with nodes that reject requests is better than a front without nodes.
     */
    private static final long MAX_UNREADY_MS = 4_500;

    private final ProxyConfiguration config;
    private final EventLoop loop;
    private final Clock clock;
    private final UpstreamConnectionPool pool;
    private final RequestRouter router;
    private final PolicyEventQueue events;
    private final DownstreamServer downstream;
    private final DiscoveryClient discovery;
    private final LoadBalancer loadBalancer;

    private boolean isReady;

    private Future<?> housekeeping;
    private Future<?> timer;
    private long timerAtUs;

    ProxyNode(ProxyConfiguration config, EventLoop loop) {
        this(config, loop, ProxyNodeDependencies.standard(config));
    }

    /** Creates a node on an event loop. {@link #start} connects it to discovery and opens its listener. */
    public ProxyNode(ProxyConfiguration config, EventLoop loop, ProxyNodeDependencies dependencies) {
        this.config = config;
        this.loop = loop;
        clock = dependencies.clock();
        DescriptorBudget descriptors = new DescriptorBudget(config.maxDescriptors());
        MemoryLimits memoryLimits =
                MemoryLimits.of(config.maxMemoryBytes(), Runtime.getRuntime().maxMemory());
        MemoryBudget responseMemory = new MemoryBudget(memoryLimits.responseBytes());
        pool = new UpstreamConnectionPool(
                loop,
                descriptors,
                responseMemory,
                clock,
                config.settings().connectTimeoutUs,
                config.upstreamIdleTimeoutUs(),
                dependencies.connectionReuseDelayUs(),
                dependencies.upstreamChannels());
        router = new RequestRouter(loop, clock, config.settings(), pool);
        events = router.events();
        downstream = new DownstreamServer(
                loop,
                clock,
                new ClientRequestParser(config.settings()),
                descriptors,
                new MemoryBudget(memoryLimits.requestBytes()),
                responseMemory,
                dependencies.listeners(),
                new ClientRequestHandler() {
                    @Override
                    public void onRequest(ClientConnection client, ClientRequest request, long arrivedAtUs)
                            throws BadRequestException {
                        router.accept(client, request, arrivedAtUs);
                    }

                    @Override
                    public boolean isReady() {
                        return isReady;
                    }

                    @Override
                    public void onClientDisconnected(ClientConnection client, ClientRequest request) {
                        router.onClientDisconnected(client, request);
                    }
                });
        discovery = new DiscoveryClient(
                loop,
                config,
                DiscoveryCallTiming.of(config.settings()),
                EndpointListLeaseTerms.of(config.settings()),
                clock,
                new DiscoveryClient.Listener() {
                    @Override
                    public void onEndpointList(EndpointList list) {
                        notifyEndpointList(
                                list, list.isComplete() ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES);
                    }

                    @Override
                    public void onLeaseChanged(long expiresAtUs) {
                        notifyLeaseChanged(expiresAtUs);
                    }
                },
                dependencies.discoveryChannels());
        loadBalancer = dependencies.loadBalancers().apply(this);
        router.setLoadBalancer(loadBalancer);
    }

    // ---------------------------------------------------------------- start and shutdown

    /**
     * Starts a node that runs until SIGTERM. Exits with code 2 and a message on standard error if the configuration is
     * invalid or the listener cannot be opened.
     *
     * @param env the environment variables of the process
     */
    public static void run(Map<String, String> env) {
        ProxyConfiguration config;
        try {
            config = ProxyConfiguration.load(env);
        } catch (ConfigurationException e) {
            System.err.println("loadbalancer: " + e.getMessage());
            System.exit(2);
            return;
        }
        EventLog.redirectNettyLog();
        logStart(config);
        EventLoop loop = newLoop();
        ProxyNode node = new ProxyNode(config, loop);
        ConfigurationReloader.installSignalHandler(env, node);
        // Registered before the listener opens, because a SIGTERM right after that would otherwise end the process
        // with the requests that it has accepted.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            CountDownLatch drained = new CountDownLatch(1);
                            node.beginGracefulShutdown(ShutdownSchedule.of(config.settings()), drained::countDown);
                            try {
                                drained.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        // Discovery may queue a call, so the first call is sent while the process warms up.
        node.startWithoutListening();
        StartupWarmUp.run(config, loop);
        Future<SocketAddress> listening = node.listen().awaitUninterruptibly();
        if (!listening.isSuccess()) {
            System.err.println("loadbalancer: listen " + config.listen() + ": "
                    + listening.cause().getMessage());
            System.exit(2);
        }
        EventLog.startupMessage("listening on " + config.listen());
    }

    private static void logStart(ProxyConfiguration config) {
        EventLog.event(LogEvent.named("start")
                .with("listen", config.listen())
                .with("discovery", config.discovery())
                .with("instances", config.settings().instances)
                .with("endpoint_list_polled", config.settings().endpointListPolled)
                .with("poll_interval_us", config.settings().pollIntervalUs)
                .with("drain_grace_us", config.settings().drainGraceUs)
                .with("cached_version", config.cachedEndpoints().version())
                .with("cached_endpoints", config.cachedEndpoints().endpoints().size()));
    }

    /** Creates an event loop with a thread of its own. */
    public static EventLoop newLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Starts the node. Returns a future that completes with the listening address once clients can connect. */
    public Future<SocketAddress> start() {
        startWithoutListening();
        return listen();
    }

    /** Loads the cached endpoint list, and starts the discovery client unless the module requests endpoint lists. */
    void startWithoutListening() {
        loop.execute(() -> {
            if (config.discovery() == null) {
                // Without discovery, the configured endpoint list never changes and needs no lease.
                isReady = true;
            } else {
                notifyLeaseChanged(EndpointListLease.NOT_GRANTED);
                loop.schedule(() -> isReady = true, MAX_UNREADY_MS, TimeUnit.MILLISECONDS);
            }
            notifyEndpointList(config.cachedEndpoints(), EndpointListKind.CACHED);
            housekeeping = loop.scheduleAtFixedRate(
                    () -> {
                        pool.closeExpired();
                        downstream.closeExpired();
                        router.forgetExpired();
                    },
                    ConnectionLimits.HOUSEKEEPING_INTERVAL_MS,
                    ConnectionLimits.HOUSEKEEPING_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            if (config.discovery() != null && !config.settings().endpointListPolled) {
                // The module calls watchEndpointList() only where endpoint lists are polled.
                discovery.start();
            }
        });
    }

    /**
     * Opens the listener. The front sends requests to the node only once the readiness check succeeds too.
     *
     * @return a future that completes with the listening address
     */
    Future<SocketAddress> listen() {
        Promise<SocketAddress> listening = loop.newPromise();
        loop.execute(() -> listen(listening, MAX_LISTEN_ATTEMPTS));
        return listening;
    }

    /**
     * Opens the listener, with retries: the descriptors of the start-up warm-up, and the address if a previous process
     * listened on it, may become free only after a delay.
     */
    private void listen(Promise<SocketAddress> listening, int attemptsLeft) {
        if (downstream.isDraining()) {
            listening.setFailure(new IllegalStateException("graceful shutdown began before the listener was open"));
            return;
        }
        downstream.listen(config.listen()).addListener((ChannelFuture opened) -> {
            if (opened.isSuccess()) {
                listening.setSuccess(opened.channel().localAddress());
            } else if (attemptsLeft > 1) {
                loop.schedule(
                        () -> listen(listening, attemptsLeft - 1), LISTEN_RETRY_INTERVAL_MS, TimeUnit.MILLISECONDS);
            } else {
                listening.setFailure(opened.cause());
            }
        });
    }

    /**
     * Applies the settings that may change while the node runs, which is the address of discovery only.
     *
     * @param signalledAtUs when the signal to reload arrived, as measured by {@link #nowUs}
     */
    void reload(ProxyConfiguration newConfig, long signalledAtUs) {
        loop.execute(() -> discovery.moveTo(newConfig.discovery(), signalledAtUs));
    }

    /** Returns the time of the node's clock in microseconds. May be called on any thread. */
    long nowUs() {
        return clock.nowUs();
    }

    /**
     * Returns whether the node holds a lease on its endpoint list, without which it sends no requests. Must be called
     * on the event loop.
     */
    boolean isLeaseHeld() {
        return pool.isLeaseHeld();
    }

    /**
     * Begins a graceful shutdown: the readiness check fails, and requests are served as the schedule allows.
     *
     * @param whenDrained called on the event loop once no client connection is open
     */
    public void beginGracefulShutdown(ShutdownSchedule schedule, Runnable whenDrained) {
        loop.execute(() -> {
            router.setResponseDeadline(clock.nowUs() + schedule.responseDeadlineUs());
            downstream.drain(schedule.servingTimeUs(), whenDrained);
            loop.schedule(router::failInFlight, schedule.responseDeadlineUs(), TimeUnit.MICROSECONDS);
        });
    }

    /** Returns the current counts. Must be called on the event loop. */
    ProxyNodeCounts counts() {
        return new ProxyNodeCounts(
                router.requestCount(), pool.exchangeCount(), downstream.connectionCount(), pool.openDescriptorCount());
    }

    /**
     * Closes the clients' and endpoints' connections and the listener at once, and cancels the node's periodic tasks.
     */
    void close() {
        loop.execute(() -> {
            housekeeping.cancel(false);
            if (timer != null) {
                timer.cancel(false);
            }
            downstream.close();
            pool.close();
        });
    }

    // ---------------------------------------------------------------- events for the module

    private void notifyEndpointList(EndpointList list, EndpointListKind kind) {
        events.add(null, () -> {
            // The pool is updated first, because the module may send requests to new endpoints at once. The attempts
            // that the pool ends on a draining endpoint are reported after the list; otherwise the module would retry
            // them on that endpoint.
            pool.onEndpointList(list);
            loadBalancer.onEndpointList(
                    clock.nowUs(),
                    kind,
                    list.endpoints().stream()
                            .map(EndpointList.AddressedEndpoint::entry)
                            .toList());
        });
    }

    /**
     * Queues a change of the lease behind the endpoint lists, because a lease applies to the list received before it.
     */
    private void notifyLeaseChanged(long expiresAtUs) {
        events.add(null, () -> {
            pool.setLeaseExpiry(expiresAtUs);
            isReady |= pool.isLeaseHeld();
            loadBalancer.onLeaseChanged(clock.nowUs(), expiresAtUs);
        });
    }

    // ---------------------------------------------------------------- actions of the module

    @Override
    public void startAttempt(long requestId, String endpointId, long deadlineUs) {
        router.startAttempt(requestId, endpointId, deadlineUs);
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        router.cancelAttempt(requestId, attemptNumber);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        router.reject(requestId, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        router.fail(requestId);
    }

    /** {@inheritDoc} Replaces a timer that is already set: the module has one pending timer at most. */
    @Override
    public void setTimer(long atUs) {
        if (timer != null) {
            timer.cancel(false);
        }
        timerAtUs = atUs;
        scheduleTimer();
    }

    private void scheduleTimer() {
        timer = loop.schedule(
                () -> {
                    long now = clock.nowUs();
                    if (now < timerAtUs) {
                        scheduleTimer();
                        return;
                    }
                    timer = null;
                    events.add(null, () -> loadBalancer.onTimer(clock.nowUs()));
                },
                Math.max(0, timerAtUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        pool.closeIdleConnections(endpointId);
    }

    @Override
    public void watchEndpointList() {
        // The call scheduler of the discovery client decides which calls are made, and when.
        discovery.start();
    }

    @Override
    public void record(PolicyEvent event) {
        EventLog.message(event.describe());
    }
}

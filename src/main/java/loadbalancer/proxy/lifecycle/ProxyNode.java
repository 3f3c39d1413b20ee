package loadbalancer.proxy.lifecycle;

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import loadbalancer.policy.AttemptOutcome;
import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.EndpointListKind;
import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.Request;
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
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.DescriptorBudget;
import loadbalancer.proxy.routing.Attempt;
import loadbalancer.proxy.routing.InFlightRequest;
import loadbalancer.proxy.routing.PolicyEventQueue;
import loadbalancer.proxy.upstream.UpstreamConnectionPool;

/**
 * A real node: it carries what happens on the sockets to the decision module and what the module asks for
 * to the sockets. It decides nothing. All of it runs on one event loop.
 */
public final class ProxyNode implements LoadBalancerActions {
    private static final byte[] NO_BODY = {};
    /** Attempts to open the listener, for two seconds in all, and the time between two of them. */
    private static final int MAX_LISTEN_ATTEMPTS = 40;

    private static final long LISTEN_RETRY_MS = 50;
    /**
     * A node without a lease is not ready for clients, but for so long only: where discovery answers nobody, a refusal
     * from each node is better than no node at all.
     */
    private static final long MAX_UNREADY_MS = 4_500;

    private final ProxyConfiguration config;
    private final EventLoop loop;
    private final Clock clock;
    private final UpstreamConnectionPool pool;
    private final DownstreamServer downstream;
    private final DiscoveryClient discovery;
    private final LoadBalancer loadBalancer;

    private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
    /** The ids of those that are owed an answer. A second one of the same id could have its effect twice. */
    private final Map<String, InFlightRequest> openRequests = new HashMap<>();

    private long lastRequestId;
    private final PolicyEventQueue events;
    /** What is still in flight then would be lost with the process. */
    private long shutdownResponseDeadlineUs = Long.MAX_VALUE;

    private boolean isReady;

    private Future<?> housekeeping;
    private Future<?> timer;
    private long timerAtUs;

    ProxyNode(ProxyConfiguration config, EventLoop loop) {
        this(config, loop, ProxyNodeDependencies.standard(config));
    }

    public ProxyNode(ProxyConfiguration config, EventLoop loop, ProxyNodeDependencies dependencies) {
        this.config = config;
        this.loop = loop;
        clock = dependencies.clock();
        events = new PolicyEventQueue(loop, request -> abandon(request, HttpResponseStatus.INTERNAL_SERVER_ERROR));
        DescriptorBudget sockets = new DescriptorBudget(config.maxDescriptors());
        pool = new UpstreamConnectionPool(
                loop,
                sockets,
                clock,
                config.settings().connectTimeoutUs,
                config.upstreamIdleTimeoutUs(),
                dependencies.connectionReuseDelayUs(),
                dependencies.upstreamChannels());
        downstream = new DownstreamServer(
                loop,
                clock,
                new ClientRequestParser(config.settings()),
                sockets,
                dependencies.listeners(),
                new ClientRequestHandler() {
                    @Override
                    public void onRequest(ClientConnection client, ClientRequest request, long arrivedAtUs)
                            throws BadRequestException {
                        acceptRequest(client, request, arrivedAtUs);
                    }

                    @Override
                    public boolean isReady() {
                        return isReady;
                    }

                    @Override
                    public void onClientDisconnected(ClientRequest request) {
                        InFlightRequest gone = openRequests.get(request.transactionId());
                        endRequest(gone);
                        events.add(gone, () -> {
                            loadBalancer.onClientDisconnected(clock.nowUs(), gone.id);
                            removeIfCompleted(gone);
                        });
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
                    public void onLeaseChanged(long untilUs) {
                        notifyLeaseChanged(untilUs);
                    }
                },
                dependencies.discoveryChannels());
        loadBalancer = dependencies.loadBalancers().apply(this);
    }

    // ---------------------------------------------------------------- start and end

    /** Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2. */
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
        // Before it listens: a node that was told to end just then would end with what it has taken.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            CountDownLatch empty = new CountDownLatch(1);
                            node.beginGracefulShutdown(ShutdownSchedule.of(config.settings()), empty::countDown);
                            try {
                                empty.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        // Calls to discovery may wait their turn: the first goes out while the process still warms up.
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
                .with("nodes", config.settings().instances)
                .with("list_on_request", config.settings().endpointListPolled)
                .with("ask_within_us", config.settings().pollIntervalUs)
                .with("drain_grace_us", config.settings().drainGraceUs)
                .with("known_version", config.cachedEndpoints().version())
                .with("known_servers", config.cachedEndpoints().endpoints().size()));
    }

    public static EventLoop newLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Begins to serve; the future is done once clients can connect, with where they can. */
    public Future<SocketAddress> start() {
        startWithoutListening();
        return listen();
    }

    /** Takes up the list that is known and asks for what has changed since. */
    void startWithoutListening() {
        loop.execute(() -> {
            if (config.discovery() == null) {
                // Nothing can change the list: it holds for good.
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
                    },
                    ConnectionLimits.HOUSEKEEPING_INTERVAL_MS,
                    ConnectionLimits.HOUSEKEEPING_INTERVAL_MS,
                    TimeUnit.MILLISECONDS);
            if (config.discovery() != null && !config.settings().endpointListPolled) {
                // The module asks for no lists where they are pushed.
                discovery.start();
            }
        });
    }

    /** Lets clients connect. The front waits for more, which is that the node is ready. */
    Future<SocketAddress> listen() {
        Promise<SocketAddress> listening = loop.newPromise();
        loop.execute(() -> listen(listening, MAX_LISTEN_ATTEMPTS));
        return listening;
    }

    /** Descriptors of the warm-up come free a moment later, and so may an address that a predecessor held. */
    private void listen(Promise<SocketAddress> listening, int attemptsLeft) {
        if (downstream.isDraining()) {
            listening.setFailure(new IllegalStateException("told to end before"));
            return;
        }
        downstream.listen(config.listen()).addListener((ChannelFuture opened) -> {
            if (opened.isSuccess()) {
                listening.setSuccess(opened.channel().localAddress());
            } else if (attemptsLeft > 1) {
                loop.schedule(() -> listen(listening, attemptsLeft - 1), LISTEN_RETRY_MS, TimeUnit.MILLISECONDS);
            } else {
                listening.setFailure(opened.cause());
            }
        });
    }

    /**
     * Takes over what may change while a node runs, which is where discovery is.
     *
     * @param signalledAtUs when the signal came that told of the change, by {@link #nowUs}
     */
    void reload(ProxyConfiguration changed, long signalledAtUs) {
        loop.execute(() -> discovery.moveTo(changed.discovery(), signalledAtUs));
    }

    /** The time by the node's clock, on any thread. */
    long nowUs() {
        return clock.nowUs();
    }

    /** Whether requests may be sent. To be called on the event loop. */
    boolean isLeaseHeld() {
        return pool.isLeaseHeld();
    }

    /** Says no to the front, serves what comes in the time left, and calls back once nothing is held. */
    public void beginGracefulShutdown(ShutdownSchedule schedule, Runnable whenEmpty) {
        loop.execute(() -> {
            shutdownResponseDeadlineUs = clock.nowUs() + schedule.responseDeadlineUs();
            downstream.drain(schedule.servingTimeUs(), whenEmpty);
            loop.schedule(this::failInFlight, schedule.responseDeadlineUs(), TimeUnit.MICROSECONDS);
        });
    }

    /** The process is about to end: who has asked before that was known, and would wait past it, is told. */
    private void failInFlight() {
        for (InFlightRequest left : List.copyOf(inFlight.values())) {
            if (!left.isEnded) {
                abandon(left, HttpResponseStatus.GATEWAY_TIMEOUT);
            }
        }
    }

    /** Answers without the module, which is told that nothing more is owed. */
    private void abandon(InFlightRequest request, HttpResponseStatus status) {
        respond(request, status, NO_BODY, 0);
        events.add(null, () -> loadBalancer.onClientDisconnected(clock.nowUs(), request.id));
    }

    /** To be called on the event loop. */
    ProxyNodeCounts counts() {
        return new ProxyNodeCounts(
                inFlight.size(), pool.exchangeCount(), downstream.connectionCount(), pool.openDescriptorCount());
    }

    /** Lets go of all sockets and timers at once. */
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
            // The pool first, as the module sends to new servers at once. What it frees from a draining
            // server is told after the list: the module would else send it there again.
            pool.onEndpointList(list);
            loadBalancer.onEndpointList(
                    clock.nowUs(),
                    kind,
                    list.endpoints().stream()
                            .map(EndpointList.AddressedEndpoint::entry)
                            .toList());
        });
    }

    /** In order with the lists, as a lease holds for the list that came before it. */
    private void notifyLeaseChanged(long untilUs) {
        events.add(null, () -> {
            pool.setLeaseEnd(untilUs);
            isReady |= pool.isLeaseHeld();
            loadBalancer.onLeaseChanged(clock.nowUs(), untilUs);
        });
    }

    private void acceptRequest(ClientConnection client, ClientRequest request, long arrivedAtUs)
            throws BadRequestException {
        if (openRequests.containsKey(request.transactionId())) {
            throw new BadRequestException(
                    HttpProtocol.TRANSACTION_ID_HEADER, request.transactionId(), "is that of an open request");
        }
        // The client counts from when it sent the request, not from when earlier ones on its connection are
        // answered.
        long deadlineUs = Math.min(arrivedAtUs + request.remainingUs(), shutdownResponseDeadlineUs);
        InFlightRequest taken = new InFlightRequest(++lastRequestId, request, client, deadlineUs);
        openRequests.put(request.transactionId(), taken);
        inFlight.put(taken.id, taken);
        events.add(
                taken,
                () -> loadBalancer.onRequest(
                        clock.nowUs(),
                        new Request(
                                taken.id,
                                request.classIndex(),
                                request.tenantIndex(),
                                Math.max(0, taken.deadlineUs - clock.nowUs()),
                                request.estimatedWorkUs(),
                                request.isRetry(),
                                request.affinityKey())));
    }

    // ---------------------------------------------------------------- attempts

    private void onAttemptEnded(Attempt attempt, AttemptResult result, byte[] body) {
        InFlightRequest request = attempt.request();
        EventLog.requestEvent(() -> LogEvent.named("attempt_ended")
                .with("request", request.request.transactionId())
                .with("attempt", attempt.number())
                .with("server", attempt.endpointId())
                .with("result", result)
                .with("after_us", clock.nowUs() - attempt.startedAtUs()));
        if (result == AttemptResult.OK && !request.isEnded) {
            respond(request, HttpResponseStatus.OK, body, 0);
        }
        events.add(request, () -> {
            request.outstandingAttempts--;
            removeIfCompleted(request);
            loadBalancer.onAttemptOutcome(
                    clock.nowUs(),
                    new AttemptOutcome(
                            request.id,
                            attempt.number(),
                            result,
                            clock.nowUs() - attempt.startedAtUs(),
                            request.isEnded,
                            null));
        });
    }

    private void removeIfCompleted(InFlightRequest request) {
        if (request.isEnded && request.outstandingAttempts == 0) {
            inFlight.remove(request.id);
        }
    }

    private void endRequest(InFlightRequest request) {
        request.isEnded = true;
        openRequests.remove(request.request.transactionId());
        request.attempts.forEach(Attempt::cancelIfNotSent);
    }

    /** The one final answer; nothing is sent for the request after it. */
    private void respond(InFlightRequest request, HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (request.isEnded) {
            return;
        }
        EventLog.requestEvent(() -> LogEvent.named("answer")
                .with("request", request.request.transactionId())
                .with("status", status.code())
                .with("attempts", request.attempts.size())
                .with("left_us", request.deadlineUs - clock.nowUs())
                .with("retry_after_us", retryAfterUs));
        endRequest(request);
        request.client.respond(status, body, retryAfterUs);
        removeIfCompleted(request);
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void startAttempt(long requestId, String serverId, long untilUs) {
        InFlightRequest request = inFlight.get(requestId);
        long until = untilUs == 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        Attempt attempt = new Attempt(request, serverId, until, config.settings(), pool, clock, this::onAttemptEnded);
        request.attempts.add(attempt);
        attempt.start(loop);
    }

    @Override
    public void cancelAttempt(long requestId, int attempt) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        finish(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        finish(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void finish(long requestId, HttpResponseStatus status, long retryAfterUs) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            respond(request, status, NO_BODY, retryAfterUs);
        }
    }

    /** The module keeps one wake-up pending at most: an earlier one takes the place of a later. */
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
    public void closeIdleConnections(String serverId) {
        pool.closeIdleConnections(serverId);
    }

    @Override
    public void watchEndpointList() {
        // Which calls are made for that, and when, is the scheduler's word.
        discovery.start();
    }

    @Override
    public void record(PolicyEvent event) {
        EventLog.message(event.describe());
    }
}

package kitemux.node;

import java.net.SocketAddress;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.Future;
import io.netty.util.concurrent.Promise;

import kitemux.Balancer;
import kitemux.Balancer.ListKind;
import kitemux.Balancer.Outcome;
import kitemux.Balancer.Request;
import kitemux.Balancer.Result;
import kitemux.DiscoveryCallScheduler.Timing;
import kitemux.ServerListLease;

/**
 * A real node: it carries what happens on the sockets to the decision module and what the module asks for
 * to the sockets. It decides nothing. All of it runs on one event loop.
 */
public final class Node implements Balancer.Actions {
    /** Buffers of just the size needed, on the heap: memory is short, and loads are small. */
    static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private static final byte[] NO_BODY = {};
    /** Attempts to open the listener, for two seconds in all, and the time between two of them. */
    private static final int MOST_LISTEN_ATTEMPTS = 40;

    private static final long LISTEN_RETRY_MS = 50;
    /**
     * A node without a lease is not ready for clients, but for so long only: where discovery answers nobody, a refusal
     * from each node is better than no node at all.
     */
    private static final long LONGEST_UNREADY_MS = 4_500;

    private final NodeConfig config;
    private final EventLoop loop;
    private final Clock clock;
    private final ServerPool pool;
    private final ClientServer clients;
    private final Discovery discovery;
    private final Balancer balancer;

    private final Map<Long, InFlightRequest> inFlight = new HashMap<>();
    /** The ids of those that are owed an answer. A second one of the same id could have its effect twice. */
    private final Set<String> openTxns = new HashSet<>();

    private long lastId;
    private final BalancerEvents events;
    /** What is still in flight then would be lost with the process. */
    private long lastAnswerAtUs = Long.MAX_VALUE;

    private boolean ready;

    private Future<?> housekeeping;
    private Future<?> wake;
    private long wakeAtUs;

    Node(NodeConfig config, EventLoop loop) {
        this(config, loop, NodeDependencies.standard(config));
    }

    Node(NodeConfig config, EventLoop loop, NodeDependencies dependencies) {
        this.config = config;
        this.loop = loop;
        clock = dependencies.clock();
        events = new BalancerEvents(loop, request -> abandon(request, HttpResponseStatus.INTERNAL_SERVER_ERROR));
        Sockets sockets = new Sockets(config.sockets());
        pool = new ServerPool(
                loop,
                sockets,
                clock,
                config.settings().connectTimeoutUs,
                config.connIdleUs(),
                dependencies.connectionRestUs(),
                dependencies.serverChannels());
        clients = new ClientServer(
                loop,
                clock,
                new RequestReader(config.settings()),
                sockets,
                dependencies.listeners(),
                new ClientServer.Handler() {
                    @Override
                    public void asked(ClientConnection client, ClientRequest request, long arrivedAtUs)
                            throws BadRequestException {
                        take(client, request, arrivedAtUs);
                    }

                    @Override
                    public boolean isReady() {
                        return ready;
                    }

                    @Override
                    public void left(ClientConnection client) {
                        InFlightRequest gone = client.inFlight;
                        end(gone);
                        events.add(gone, () -> {
                            balancer.onClientGone(clock.nowUs(), gone.id);
                            forgetIfOver(gone);
                        });
                    }
                });
        discovery = new Discovery(
                loop,
                config,
                Timing.of(config.settings()),
                ServerListLease.Terms.of(config.settings()),
                clock,
                new Discovery.Listener() {
                    @Override
                    public void listed(HostList list) {
                        list(list, list.all() ? ListKind.FULL : ListKind.CHANGES);
                    }

                    @Override
                    public void leased(long untilUs) {
                        lease(untilUs);
                    }
                },
                dependencies.discoveryChannels());
        balancer = dependencies.balancers().apply(this);
    }

    // ---------------------------------------------------------------- start and end

    /** Runs a node until SIGTERM; a bad configuration ends it with one line and exit code 2. */
    public static void run(Map<String, String> env) {
        NodeConfig config;
        try {
            config = NodeConfig.read(env);
        } catch (ConfigException e) {
            System.err.println("kitemux: " + e.getMessage());
            System.exit(2);
            return;
        }
        Log.takeOverWarnings();
        logStart(config);
        EventLoop loop = newLoop();
        Node node = new Node(config, loop);
        Reload.onHangUp(env, node);
        // Before it listens: a node that was told to end just then would end with what it has taken.
        Runtime.getRuntime()
                .addShutdownHook(new Thread(
                        () -> {
                            CountDownLatch empty = new CountDownLatch(1);
                            node.drain(ShutdownSchedule.of(config.settings()), empty::countDown);
                            try {
                                empty.await();
                            } catch (InterruptedException e) {
                                Thread.currentThread().interrupt();
                            }
                        },
                        "drain"));
        // Calls to discovery may wait their turn: the first goes out while the process still warms up.
        node.learn();
        Rehearsal.play(config, loop);
        Future<SocketAddress> listening = node.listen().awaitUninterruptibly();
        if (!listening.isSuccess()) {
            System.err.println("kitemux: listen " + config.listen() + ": "
                    + listening.cause().getMessage());
            System.exit(2);
        }
        Log.milestone("listening on " + config.listen());
    }

    private static void logStart(NodeConfig config) {
        Log.event(LogEvent.named("start")
                .with("listen", config.listen())
                .with("discovery", config.discovery())
                .with("nodes", config.settings().nodes)
                .with("list_on_request", config.settings().listOnRequest)
                .with("ask_within_us", config.settings().askWithinUs)
                .with("drain_grace_us", config.settings().drainGraceUs)
                .with("known_version", config.known().rev())
                .with("known_servers", config.known().hosts().size()));
    }

    static EventLoop newLoop() {
        return (EventLoop) new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory()).next();
    }

    /** Begins to serve; the future is done once clients can connect, with where they can. */
    Future<SocketAddress> start() {
        learn();
        return listen();
    }

    /** Takes up the list that is known and asks for what has changed since. */
    void learn() {
        loop.execute(() -> {
            if (config.discovery() == null) {
                // Nothing can change the list: it holds for good.
                ready = true;
            } else {
                lease(ServerListLease.NOT_HELD);
                loop.schedule(() -> ready = true, LONGEST_UNREADY_MS, TimeUnit.MILLISECONDS);
            }
            list(config.known(), ListKind.CACHED);
            housekeeping = loop.scheduleAtFixedRate(
                    () -> {
                        pool.closeOld();
                        clients.closeOld();
                    },
                    Limits.HOUSEKEEPING_MS,
                    Limits.HOUSEKEEPING_MS,
                    TimeUnit.MILLISECONDS);
            if (config.discovery() != null && !config.settings().listOnRequest) {
                // The module asks for no lists where they are pushed.
                discovery.start();
            }
        });
    }

    /** Lets clients connect. The front waits for more, which is that the node is ready. */
    Future<SocketAddress> listen() {
        Promise<SocketAddress> listening = loop.newPromise();
        loop.execute(() -> listen(listening, MOST_LISTEN_ATTEMPTS));
        return listening;
    }

    /** Descriptors of the warm-up come free a moment later, and so may an address that a predecessor held. */
    private void listen(Promise<SocketAddress> listening, int attemptsLeft) {
        if (clients.isDraining()) {
            listening.setFailure(new IllegalStateException("told to end before"));
            return;
        }
        clients.listen(config.listen()).addListener((ChannelFuture opened) -> {
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
    void reload(NodeConfig changed, long signalledAtUs) {
        loop.execute(() -> discovery.moveTo(changed.discovery(), signalledAtUs));
    }

    /** The time by the node's clock, on any thread. */
    long nowUs() {
        return clock.nowUs();
    }

    /** Whether requests may be sent. To be called on the event loop. */
    boolean mayRoute() {
        return pool.mayRoute();
    }

    /** Says no to the front, serves what comes in the time left, and calls back once nothing is held. */
    void drain(ShutdownSchedule schedule, Runnable whenEmpty) {
        loop.execute(() -> {
            lastAnswerAtUs = clock.nowUs() + schedule.lastAnswerUs();
            clients.drain(schedule.lastRequestUs(), whenEmpty);
            loop.schedule(this::failInFlight, schedule.lastAnswerUs(), TimeUnit.MICROSECONDS);
        });
    }

    /** The process is about to end: who has asked before that was known, and would wait past it, is told. */
    private void failInFlight() {
        for (InFlightRequest left : List.copyOf(inFlight.values())) {
            if (!left.ended) {
                abandon(left, HttpResponseStatus.GATEWAY_TIMEOUT);
            }
        }
    }

    /** Answers without the module, which is told that nothing more is owed. */
    private void abandon(InFlightRequest request, HttpResponseStatus status) {
        answer(request, status, NO_BODY, 0);
        events.add(null, () -> balancer.onClientGone(clock.nowUs(), request.id));
    }

    /** To be called on the event loop. */
    NodeCounts counts() {
        return new NodeCounts(inFlight.size(), pool.exchanges(), clients.connections(), pool.descriptors());
    }

    /** Lets go of all sockets and timers at once. */
    void close() {
        loop.execute(() -> {
            housekeeping.cancel(false);
            if (wake != null) {
                wake.cancel(false);
            }
            clients.close();
            pool.close();
        });
    }

    // ---------------------------------------------------------------- events for the module

    private void list(HostList list, ListKind kind) {
        events.add(null, () -> {
            // The pool first, as the module sends to new servers at once. What it frees from a draining
            // server is told after the list: the module would else send it there again.
            pool.update(list);
            balancer.onServers(
                    clock.nowUs(),
                    kind,
                    list.hosts().stream().map(HostList.Host::entry).toList());
        });
    }

    /** In order with the lists, as a lease holds for the list that came before it. */
    private void lease(long untilUs) {
        events.add(null, () -> {
            pool.routeUntil(untilUs);
            ready |= pool.mayRoute();
            balancer.onLease(clock.nowUs(), untilUs);
        });
    }

    private void take(ClientConnection client, ClientRequest request, long arrivedAtUs) throws BadRequestException {
        if (!openTxns.add(request.txn())) {
            throw new BadRequestException("X-Txn is that of an open request");
        }
        // The client counts from when it sent the request, not from when earlier ones on its connection are
        // answered.
        long deadlineUs = Math.min(arrivedAtUs + request.leftUs(), lastAnswerAtUs);
        InFlightRequest taken = new InFlightRequest(++lastId, request, client, deadlineUs);
        client.inFlight = taken;
        inFlight.put(taken.id, taken);
        events.add(
                taken,
                () -> balancer.onRequest(
                        clock.nowUs(),
                        new Request(
                                taken.id,
                                request.classIndex(),
                                request.tenant(),
                                Math.max(0, taken.deadlineUs - clock.nowUs()),
                                request.workUs(),
                                request.retry(),
                                request.key())));
    }

    // ---------------------------------------------------------------- attempts

    private void attemptEnded(Attempt attempt, Result result, byte[] body) {
        InFlightRequest request = attempt.of();
        Log.request(() -> LogEvent.named("attempt_ended")
                .with("request", request.request.txn())
                .with("attempt", attempt.number())
                .with("server", attempt.serverId())
                .with("result", result)
                .with("after_us", clock.nowUs() - attempt.sentAtUs()));
        if (result == Result.OK && !request.ended) {
            answer(request, HttpResponseStatus.OK, body, 0);
        }
        events.add(request, () -> {
            request.outstanding--;
            forgetIfOver(request);
            balancer.onOutcome(
                    clock.nowUs(),
                    new Outcome(
                            request.id,
                            attempt.number(),
                            result,
                            clock.nowUs() - attempt.sentAtUs(),
                            request.ended,
                            null));
        });
    }

    private void forgetIfOver(InFlightRequest request) {
        if (request.ended && request.outstanding == 0) {
            inFlight.remove(request.id);
        }
    }

    private void end(InFlightRequest request) {
        request.ended = true;
        openTxns.remove(request.request.txn());
        request.attempts.forEach(Attempt::withdraw);
    }

    /** The one final answer; nothing is sent for the request after it. */
    private void answer(InFlightRequest request, HttpResponseStatus status, byte[] body, long retryAfterUs) {
        if (request.ended) {
            return;
        }
        Log.request(() -> LogEvent.named("answer")
                .with("request", request.request.txn())
                .with("status", status.code())
                .with("attempts", request.attempts.size())
                .with("left_us", request.deadlineUs - clock.nowUs())
                .with("retry_after_us", retryAfterUs));
        end(request);
        request.client.answer(status, body, retryAfterUs);
        forgetIfOver(request);
    }

    // ---------------------------------------------------------------- what the module asks for

    @Override
    public void send(long requestId, String serverId, long untilUs) {
        InFlightRequest request = inFlight.get(requestId);
        long until = untilUs == 0 ? request.deadlineUs : Math.min(untilUs, request.deadlineUs);
        Attempt attempt = new Attempt(request, serverId, until, config.settings(), pool, clock, this::attemptEnded);
        request.attempts.add(attempt);
        attempt.begin(loop);
    }

    @Override
    public void cancel(long requestId, int attempt) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            request.attempts.get(attempt).cancel();
        }
    }

    @Override
    public void refuse(long requestId, long retryAfterUs) {
        finish(requestId, HttpResponseStatus.SERVICE_UNAVAILABLE, retryAfterUs);
    }

    @Override
    public void fail(long requestId) {
        finish(requestId, HttpResponseStatus.BAD_GATEWAY, 0);
    }

    private void finish(long requestId, HttpResponseStatus status, long retryAfterUs) {
        InFlightRequest request = inFlight.get(requestId);
        if (request != null) {
            answer(request, status, NO_BODY, retryAfterUs);
        }
    }

    /** The module keeps one wake-up pending at most: an earlier one takes the place of a later. */
    @Override
    public void wakeAt(long atUs) {
        if (wake != null) {
            wake.cancel(false);
        }
        wakeAtUs = atUs;
        scheduleWake();
    }

    private void scheduleWake() {
        wake = loop.schedule(
                () -> {
                    long now = clock.nowUs();
                    if (now < wakeAtUs) {
                        scheduleWake();
                        return;
                    }
                    wake = null;
                    events.add(null, () -> balancer.onWake(clock.nowUs()));
                },
                Math.max(0, wakeAtUs - clock.nowUs()),
                TimeUnit.MICROSECONDS);
    }

    @Override
    public void closeIdle(String serverId) {
        pool.closeIdle(serverId);
    }

    @Override
    public void subscribe() {
        // Which calls are made for that, and when, is the scheduler's word.
        discovery.start();
    }

    @Override
    public void log(String line) {
        Log.line(line);
    }
}

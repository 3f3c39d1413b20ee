package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Function;
import java.util.function.Predicate;

import com.fasterxml.jackson.databind.ObjectMapper;

import io.netty.channel.ChannelFactory;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.Idempotency;
import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.RequestClass;
import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.policy.Tenant;
import loadbalancer.proxy.config.EndpointListDecoder;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.downstream.ClientListener;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.SystemClock;
import loadbalancer.proxy.upstream.UpstreamChannel;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** A node on loopback sockets, with scripted endpoints and a scripted discovery. */
public final class ProxyFixture implements AutoCloseable {
    private static final long TIMEOUT_NS = 20_000_000_000L;

    public final LoadBalancerSettings settings = new LoadBalancerSettings();
    public final ScriptedHttpServer discovery;
    public final EventLoop loop = ProxyNode.newLoop();
    public int maxDescriptors = 256;
    public long maxMemoryBytes = 192 << 20;
    public long upstreamIdleTimeoutUs = 60_000_000;
    /** Zero, so that connections are reused at once and tests can count them. */
    public long connectionReuseDelayUs = 0;
    /** Creates the decision module. Tests may replace it by one that fails. */
    public Function<LoadBalancerActions, LoadBalancer> loadBalancers;

    public Clock clock = new SystemClock();
    public ChannelFactory<UpstreamChannel> upstreamChannels = UpstreamChannel::new;
    public ChannelFactory<? extends SocketChannel> discoveryChannels = NioSocketChannel::new;
    public ChannelFactory<ClientListener> listeners = ClientListener::new;
    public ProxyNode node;
    private InetSocketAddress address;
    private final List<Socket> clients = new ArrayList<>();

    public ProxyFixture(ScriptedHttpServer discovery) {
        this.discovery = discovery;
        loadBalancers = actions -> new ServiceQLoadBalancer(settings, 7, actions);
        settings.zones.add("here");
        settings.classes.add(requestClass("page", Idempotency.IDEMPOTENT, DeduplicationScope.ALL));
        settings.classes.add(requestClass("photo", Idempotency.IDEMPOTENCY_KEY, DeduplicationScope.CELL));
        settings.classes.add(requestClass("order", Idempotency.NON_IDEMPOTENT, DeduplicationScope.ALL));
        settings.tenants.add(new Tenant("org", 0));
        settings.maxAttempts = 4;
        settings.cancellationEnabled = true;
        settings.maxRetryAfterUs = 250_000;
        settings.connectTimeoutUs = 5_000_000;
        settings.endpointListPolled = true;
    }

    private static RequestClass requestClass(
            String name, Idempotency idempotency, DeduplicationScope deduplicationScope) {
        return new RequestClass(name, 1_000_000, 0, 5_000_000, 1, 0, idempotency, deduplicationScope, 1_200_000, false);
    }

    /**
     * Returns a fixture whose discovery sends a heartbeat on each watch, which grants a lease on the cached endpoint
     * list.
     */
    public static ProxyFixture withHeartbeat() throws IOException {
        return new ProxyFixture(
                new ScriptedHttpServer((request, peer) -> peer.write(watchResponseHead() + chunk("\n"))));
    }

    /** Returns a fixture whose discovery accepts each watch and sends nothing on it. */
    public static ProxyFixture withSilentDiscovery() throws IOException {
        return new ProxyFixture(new ScriptedHttpServer((request, peer) -> peer.write(watchResponseHead())));
    }

    public static String watchResponseHead() {
        return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    }

    public static String chunk(String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Returns an endpoint list in JSON. Entries have the format {@code id=address=state}. */
    public static String list(int version, boolean isComplete, String... entries) {
        StringBuilder targets = new StringBuilder();
        for (String entry : entries) {
            String[] fields = entry.split("=", 3);
            targets.append(targets.isEmpty() ? "" : ",")
                    .append("{\"uid\":\"")
                    .append(fields[0])
                    .append("\",\"endpoint\":\"")
                    .append(fields[1])
                    .append("\",\"az\":\"here\",\"pod_group\":0,\"state\":\"")
                    .append(fields[2])
                    .append("\",\"capacity_hint\":1.0,\"boot_ms\":0}");
        }
        return "{\"rev\":" + version + ",\"all\":" + isComplete + ",\"targets\":[" + targets + "]}";
    }

    public ProxyConfiguration config(String cachedList) throws Exception {
        return new ProxyConfiguration(
                new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
                ProxyConfiguration.parseAddress("discovery", discovery.endpoint()),
                7,
                maxDescriptors,
                maxMemoryBytes,
                upstreamIdleTimeoutUs,
                new EndpointListDecoder(settings.zones).decode(new ObjectMapper().readTree(cachedList)),
                settings);
    }

    public ProxyNodeDependencies dependencies() {
        return new ProxyNodeDependencies(
                clock, connectionReuseDelayUs, loadBalancers, upstreamChannels, discoveryChannels, listeners);
    }

    /** Starts the node with the endpoints s0, s1, ..., and waits for its lease. */
    public ProxyFixture start(ScriptedHttpServer... servers) throws Exception {
        String[] entries = new String[servers.length];
        for (int i = 0; i < servers.length; i++) {
            entries[i] = "s" + i + "=" + servers[i].endpoint() + "=Ready";
        }
        return startWithCachedList(list(1, true, entries));
    }

    /** Starts the node with a cached endpoint list, and waits for its lease. */
    public ProxyFixture startWithCachedList(String cachedList) throws Exception {
        startWithoutLease(cachedList);
        awaitLease();
        return this;
    }

    /** Waits until the node holds a lease on its endpoint list. */
    public void awaitLease() throws Exception {
        long deadlineNs = System.nanoTime() + TIMEOUT_NS;
        while (!loop.submit(node::isLeaseHeld).get()) {
            assertTrue(System.nanoTime() < deadlineNs, "no lease on the endpoint list within " + TIMEOUT_NS + " ns");
        }
    }

    /** Starts the node with a cached endpoint list, and waits for the listener only. */
    public ProxyFixture startWithoutLease(String cachedList) throws Exception {
        node = new ProxyNode(config(cachedList), loop, dependencies());
        address = (InetSocketAddress) node.start().sync().getNow();
        return this;
    }

    public InetSocketAddress address() {
        return address;
    }

    public Socket connect() throws IOException {
        Socket client = new Socket(address.getAddress(), address.getPort());
        client.setSoTimeout(20_000);
        clients.add(client);
        return client;
    }

    public void closeClients() throws IOException {
        for (Socket client : clients) {
            client.close();
        }
    }

    /** Waits until the counts of the node meet a condition. */
    public void awaitCounts(Predicate<ProxyNodeCounts> condition) throws Exception {
        long deadlineNs = System.nanoTime() + TIMEOUT_NS;
        ProxyNodeCounts counts;
        do {
            counts = loop.submit(node::counts).get();
            assertTrue(
                    System.nanoTime() < deadlineNs,
                    "condition not met within " + TIMEOUT_NS + " ns; last counts: " + counts);
        } while (!condition.test(counts));
    }

    /** Closes all clients, then the node, and waits until all requests, connections and descriptors are released. */
    public void assertAllResourcesReleased() throws Exception {
        closeClients();
        awaitCounts(counts -> counts.requests() == 0 && counts.exchanges() == 0 && counts.clients() == 0);
        node.close();
        awaitCounts(counts -> counts.descriptors() == 0);
    }

    /** Waits until connections are refused. The kernel closes the listener shortly after the event loop has. */
    public void awaitConnectionsRefused() {
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> assertThrows(IOException.class, () -> {
                    while (true) {
                        connect();
                        Thread.onSpinWait();
                    }
                }));
    }

    /** Sends a request on a connection, and returns the response. */
    public static HttpMessages.Message ask(Socket client, String request) throws IOException {
        write(client, request);
        return HttpMessages.read(client.getInputStream());
    }

    public static void write(Socket client, String text) throws IOException {
        client.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }

    /** Sends a request on a new connection, and returns the response. */
    public HttpMessages.Message ask(String request) throws IOException {
        return ask(connect(), request);
    }

    /** Waits until the node has read all earlier input, by sending another request and reading its response. */
    public void awaitPriorInputRead() throws IOException {
        assertEquals(404, ask(HttpMessages.page("/nothing", "later", "1m")).status());
    }

    @Override
    public void close() throws IOException {
        closeClients();
        discovery.close();
        loop.parent().shutdownGracefully();
    }
}

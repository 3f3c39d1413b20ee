package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.net.InetSocketAddress;
import java.util.concurrent.atomic.AtomicInteger;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.discovery.DiscoveryCallTiming;
import loadbalancer.policy.discovery.EndpointListLeaseTerms;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.proxy.resources.SystemClock;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Tests which calls {@link DiscoveryClient} opens and closes, and which lists it applies. */
class DiscoveryClientTest {
    private static final DiscoveryCallTiming SHORT_TIMING = new DiscoveryCallTiming(50_000, 100_000, 0, 1_000);

    @Test
    void nextWatchRequestsChangesAfterTheLastVersion() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    ScriptedHttpServer.next(proxy.discovery.requests).path());
            ScriptedHttpServer.Peer peer = ScriptedHttpServer.next(proxy.discovery.peers);
            String line = ProxyFixture.list(43, true, RecordedDiscovery.ENTRY, "s1=10.0.0.2:80=Terminating");
            peer.write(ProxyFixture.chunk(line.substring(0, 20)));
            peer.write(ProxyFixture.chunk(
                    line.substring(20) + "\n\n" + ProxyFixture.list(44, false, RecordedDiscovery.ENTRY) + "\n"));
            assertEquals("43 complete 2", ScriptedHttpServer.next(recorded.events));
            assertEquals("44 changes 1", ScriptedHttpServer.next(recorded.events));
            peer.socket().close();
            assertEquals(RecordedDiscovery.CALL_ENDED, ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    "/discovery/hosts?watch=1&after=44",
                    ScriptedHttpServer.next(proxy.discovery.requests).path());
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void listOfALowerVersionIsDroppedAndTheCompleteListIsRequested(boolean isComplete) throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.next(proxy.discovery.requests);
            ScriptedHttpServer.Peer peer = ScriptedHttpServer.next(proxy.discovery.peers);
            peer.write(ProxyFixture.chunk(
                    ProxyFixture.list(43, false, "s0=10.0.0.1:80=Terminating") + "\n" + ProxyFixture.list(43, false)
                            + "\n" + ProxyFixture.list(42, isComplete, RecordedDiscovery.ENTRY) + "\n"));
            assertEquals("43 changes 1", ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    "43 changes 0",
                    ScriptedHttpServer.next(recorded.events),
                    "a list with the same version is applied");
            assertEquals(RecordedDiscovery.CALL_ENDED, ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    "/discovery/hosts?watch=1",
                    ScriptedHttpServer.next(proxy.discovery.requests).path());
            ScriptedHttpServer.next(proxy.discovery.peers)
                    .write(ProxyFixture.chunk(ProxyFixture.list(7, true, RecordedDiscovery.ENTRY)));
            assertEquals(
                    "7 complete 1",
                    ScriptedHttpServer.next(recorded.events),
                    "a complete list after a restart of the versions is applied");
        }
    }

    @Test
    void heartbeatAsTheFirstMessageConfirmsTheCachedList() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.next(proxy.discovery.peers)
                    .write(ProxyFixture.chunk("\n")
                            + ProxyFixture.chunk("\n")
                            + ProxyFixture.chunk(ProxyFixture.list(42, false, RecordedDiscovery.ENTRY) + "\n"));
            assertEquals("41 changes 0", ScriptedHttpServer.next(recorded.events));
            assertEquals("42 changes 1", ScriptedHttpServer.next(recorded.events));
        }
    }

    /** Asserts that calls are opened beside an unresponsive one, and that one is closed once too many are pending. */
    private static void assertFurtherCallsAreOpenedAndOneIsClosed(ProxyFixture proxy) throws Exception {
        for (int call = 1; call <= 4; call++) {
            ScriptedHttpServer.next(proxy.discovery.requests);
        }
        ScriptedHttpServer.next(proxy.discovery.closedConnections);
    }

    @Test
    void unresponsiveCallIsHedgedAndClosed() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, SHORT_TIMING);
            assertFurtherCallsAreOpenedAndOneIsClosed(proxy);
            assertTrue(recorded.events.isEmpty());
        }
    }

    @Test
    void callWithBytesButWithoutAMessageIsUnresponsive() throws Exception {
        try (ProxyFixture proxy = new ProxyFixture(new ScriptedHttpServer((request, peer) -> {
            peer.write(ProxyFixture.watchResponseHead());
            // Bytes of an incomplete object do not count as a message.
            peer.write(ProxyFixture.chunk("{\"rev\":"));
            while (true) {
                peer.write(ProxyFixture.chunk(" "));
            }
        }))) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, SHORT_TIMING);
            assertFurtherCallsAreOpenedAndOneIsClosed(proxy);
            assertTrue(recorded.events.isEmpty());
        }
    }

    @Test
    void unresponsiveWatchStaysOpenUntilAnotherCallHasAMessage() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ProxyFixture proxy = new ProxyFixture(new ScriptedHttpServer((request, peer) -> {
            peer.write(ProxyFixture.watchResponseHead());
            if (calls.getAndIncrement() == 0) {
                peer.write(ProxyFixture.chunk(ProxyFixture.list(42, false, RecordedDiscovery.ENTRY) + "\n"));
            }
        }))) {
            RecordedDiscovery recorded =
                    RecordedDiscovery.start(proxy, new DiscoveryCallTiming(10_000_000, 50_000, 0, 1_000));
            ScriptedHttpServer.Peer unresponsive = ScriptedHttpServer.next(proxy.discovery.peers);
            assertEquals("42 changes 1", ScriptedHttpServer.next(recorded.events));
            ScriptedHttpServer.Peer hedged = ScriptedHttpServer.next(proxy.discovery.peers);
            unresponsive.write(ProxyFixture.chunk(ProxyFixture.list(43, false, RecordedDiscovery.ENTRY) + "\n"));
            assertEquals("43 changes 1", ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    hedged,
                    ScriptedHttpServer.next(proxy.discovery.closedConnections),
                    "the pending call is closed because the watch has received a message");
            ScriptedHttpServer.Peer next = ScriptedHttpServer.next(proxy.discovery.peers);
            next.write(ProxyFixture.chunk(ProxyFixture.list(44, false, RecordedDiscovery.ENTRY) + "\n"));
            assertEquals("44 changes 1", ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    unresponsive,
                    ScriptedHttpServer.next(proxy.discovery.closedConnections),
                    "the previous watch is closed because a newer call has become the watch");
        }
    }

    @Test
    void leaseIsShorterThanTheSumOfPollIntervalAndGrace() {
        LoadBalancerSettings settings = RecordedDiscovery.polledSettings();
        settings.pollIntervalUs = 3_000_000;
        long termUs = EndpointListLeaseTerms.of(settings).afterConfirmationUs();
        assertTrue(
                termUs < settings.pollIntervalUs + settings.drainGraceUs, "the lease is valid for " + termUs + " us");
    }

    @Test
    void listIsAppliedAfterARejectedCallIsRetried() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ScriptedHttpServer discovery = new ScriptedHttpServer((request, peer) -> peer.write(
                        calls.getAndIncrement() == 0
                                ? HttpMessages.response("503 Busy", "", "")
                                : ProxyFixture.watchResponseHead()
                                        + ProxyFixture.chunk(
                                                ProxyFixture.list(2, true, "s0=" + upstream.endpoint() + "=Ready")
                                                        + "\n")));
                ProxyFixture proxy = new ProxyFixture(discovery).startWithCachedList(ProxyFixture.list(1, true))) {
            assertEquals(
                    200, proxy.ask(HttpMessages.page("/api/p", "t", "5000m")).status());
            assertEquals(2, calls.get());
        }
    }

    @Test
    void completeListIsRequestedFromTheNewAddressOfDiscoveryWithoutAFailedCall() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery();
                ScriptedHttpServer moved =
                        new ScriptedHttpServer((request, peer) -> peer.write(ProxyFixture.watchResponseHead()
                                + ProxyFixture.chunk(ProxyFixture.list(7, true, RecordedDiscovery.ENTRY) + "\n")))) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.next(proxy.discovery.requests);
            InetSocketAddress newAddress = ProxyConfiguration.parseAddress("discovery", moved.endpoint());
            proxy.loop.execute(() -> recorded.client.moveTo(newAddress, new SystemClock().nowUs()));
            assertEquals(
                    "/discovery/hosts?watch=1",
                    ScriptedHttpServer.next(moved.requests).path());
            assertEquals("7 complete 1", ScriptedHttpServer.next(recorded.events));
            ScriptedHttpServer.next(proxy.discovery.closedConnections);
            // A move to the same address keeps the watch open. The next call goes to the new address too.
            proxy.loop.execute(() -> recorded.client.moveTo(newAddress, new SystemClock().nowUs()));
            ScriptedHttpServer.next(moved.peers).reset();
            assertEquals(RecordedDiscovery.CALL_ENDED, ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    "/discovery/hosts?watch=1&after=7",
                    ScriptedHttpServer.next(moved.requests).path());
            assertEquals(2, moved.acceptedCount.get());
            assertEquals(1, proxy.discovery.acceptedCount.get());
        }
    }

    @Test
    void pushedListsAreWatchedBeforeClientsCanConnect() throws Exception {
        try (ScriptedHttpServer draining = ScriptedHttpServer.serving("draining");
                ScriptedHttpServer ready = ScriptedHttpServer.serving("ready");
                ScriptedHttpServer agent = new ScriptedHttpServer((request, peer) -> {
                    if (request.path().endsWith("after=1")) {
                        peer.write(ProxyFixture.watchResponseHead()
                                + ProxyFixture.chunk(ProxyFixture.list(
                                                2,
                                                false,
                                                "s0=" + draining.endpoint() + "=Terminating",
                                                "s1=" + ready.endpoint() + "=Ready")
                                        + "\n"));
                    } else {
                        peer.write(ProxyFixture.watchResponseHead() + ProxyFixture.chunk("\n"));
                    }
                });
                ProxyFixture proxy = new ProxyFixture(agent)) {
            proxy.settings.endpointListPolled = false;
            proxy.startWithCachedList(ProxyFixture.list(1, true, "s0=" + draining.endpoint() + "=Ready"));
            assertEquals(
                    "ready",
                    proxy.ask(HttpMessages.page("/api/p", "t", "5000m")).body());
            assertEquals(
                    "/discovery/hosts?watch=1&after=1",
                    ScriptedHttpServer.next(agent.requests).path());
            // The client opens a new watch after a reset without an action of the policy.
            ScriptedHttpServer.next(agent.peers).reset();
            assertEquals(
                    "/discovery/hosts?watch=1&after=2",
                    ScriptedHttpServer.next(agent.requests).path());
            ScriptedHttpServer.next(agent.peers).reset();
            assertEquals(
                    "/discovery/hosts?watch=1&after=2",
                    ScriptedHttpServer.next(agent.requests).path());
            assertEquals(0, draining.acceptedCount.get());
        }
    }

    /** Changes that an agent pushes count as notified immediately, so the cached list does not grant a lease. */
    @Test
    void proxyIsNotReadyAndRejectsRequestsIfTheAgentIsNotReachable() throws Exception {
        try (ScriptedHttpServer upstream = ScriptedHttpServer.serving("x");
                ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            proxy.settings.endpointListPolled = false;
            proxy.discovery.stop();
            proxy.startWithoutLease(ProxyFixture.list(1, true, "s0=" + upstream.endpoint() + "=Ready"));
            assertEquals(503, proxy.ask(HttpMessages.page("/up", "t", "5000m")).status());
            HttpMessages.Message rejection = proxy.ask(HttpMessages.page("/api/p", "t", "5000m"));
            assertEquals(503, rejection.status());
            assertEquals("0.25", rejection.headers().get("retry-after"));
            assertEquals(0, upstream.acceptedCount.get());
        }
    }
}

package kitemux.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;

import io.netty.channel.socket.nio.NioSocketChannel;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import kitemux.Balancer.Settings;
import kitemux.DiscoveryCallScheduler.Timing;
import kitemux.ServerListLease;

/** The watch on the list. */
class DiscoveryTest {
    private static final String KNOWN = Site.list(41, true);
    private static final Timing USUAL = Timing.of(onRequest());
    private static final Timing SHORT = new Timing(50_000, 100_000, 0, 1_000);
    private static final String ENTRY = "s0=10.0.0.1:80=Ready";

    private final BlockingQueue<String> reasons = new LinkedBlockingQueue<>();

    private static Settings onRequest() {
        Settings settings = new Settings();
        settings.listOnRequest = true;
        return settings;
    }

    /** A watch alone; what it tells comes as a line. */
    private Discovery watch(Site site, Timing timing, BlockingQueue<String> told) throws Exception {
        Discovery discovery = new Discovery(
                site.loop,
                site.config(KNOWN),
                timing,
                ServerListLease.Terms.of(site.settings),
                new SystemClock(),
                new Discovery.Listener() {
                    @Override
                    public void listed(HostList list) {
                        told.add(list.rev()
                                + (list.all() ? " all " : " changes ")
                                + list.hosts().size());
                    }

                    @Override
                    public void failed(String reason) {
                        told.add("failed");
                        reasons.add(reason);
                    }
                },
                NioSocketChannel::new);
        site.loop.execute(discovery::start);
        return discovery;
    }

    @Test
    void listsComeInPiecesAndTheNextWatchGoesOnFromTheLast() throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, USUAL, told);
            assertEquals(
                    "/discovery/hosts?watch=1&after=41",
                    FarServer.next(site.discovery.requests).path());
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String line = Site.list(43, true, ENTRY, "s1=10.0.0.2:80=Terminating");
            peer.write(Site.chunk(line.substring(0, 20)));
            peer.write(Site.chunk(line.substring(20) + "\n\n" + Site.list(44, false, ENTRY) + "\n"));
            assertEquals("43 all 2", FarServer.next(told));
            assertEquals("44 changes 1", FarServer.next(told));
            peer.socket().close();
            assertEquals("failed", FarServer.next(told));
            assertEquals(
                    "/discovery/hosts?watch=1&after=44",
                    FarServer.next(site.discovery.requests).path());
        }
    }

    private static String indented(String list) throws IOException {
        ObjectMapper json = new ObjectMapper();
        return json.writerWithDefaultPrettyPrinter().writeValueAsString(json.readTree(list));
    }

    @Test
    void aListIsReadHoweverItIsCutAndLaidOut() throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, USUAL, told);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String indented = indented(Site.list(42, true, ENTRY, "s1=10.0.0.2:80=Ready"));
            assertTrue(indented.lines().count() > 10);
            for (char each : (indented + "\n\n").toCharArray()) {
                peer.write(Site.chunk(Character.toString(each)));
            }
            assertEquals("42 all 2", FarServer.next(told));
            peer.write(Site.chunk(
                    Site.list(43, false, ENTRY) + Site.list(44, false) + "\n" + indented.replace("42", "45")));
            assertEquals("43 changes 1", FarServer.next(told));
            assertEquals("44 changes 0", FarServer.next(told));
            assertEquals("45 all 2", FarServer.next(told));
            assertTrue(told.isEmpty());
        }
    }

    @Test
    void aListOfAThousandServersIsReadIndentedAndCutIntoPieces() throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, USUAL, told);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String[] entries = new String[1_024];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = "server-of-a-large-fleet-" + i + "=127.100.200." + i % 250 + ":18080=Ready";
            }
            String list = indented(Site.list(42, true, entries));
            for (int at = 0; at < list.length(); at += 997) {
                peer.write(Site.chunk(list.substring(at, Math.min(list.length(), at + 997))));
            }
            assertEquals("42 all 1024", FarServer.next(told));
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aVersionThatGoesBackIsNotUsedAndTheWholeListAskedFor(boolean whole) throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, USUAL, told);
            FarServer.next(site.discovery.requests);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            peer.write(Site.chunk(Site.list(43, false, "s0=10.0.0.1:80=Terminating") + "\n" + Site.list(43, false)
                    + "\n" + Site.list(42, whole, ENTRY) + "\n"));
            assertEquals("43 changes 1", FarServer.next(told));
            assertEquals("43 changes 0", FarServer.next(told), "a repeat does no harm");
            assertEquals("failed", FarServer.next(told));
            assertEquals(
                    "/discovery/hosts?watch=1",
                    FarServer.next(site.discovery.requests).path());
            FarServer.next(site.discovery.peers).write(Site.chunk(Site.list(7, true, ENTRY)));
            assertEquals("7 all 1", FarServer.next(told), "a discovery that counts anew");
        }
    }

    @Test
    void anObjectWithoutAnEndIsBounded() throws Exception {
        try (Site site = new Site(new FarServer((request, peer) -> {
            peer.write(Site.watchHead() + Site.chunk("{\"rev\":42,\"targets\":["));
            while (true) {
                peer.write(Site.chunk("{},".repeat(10_000)));
            }
        }))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, USUAL, told);
            assertEquals("failed", FarServer.next(told));
            assertEquals("bad list: an object without an end", FarServer.next(reasons));
        }
    }

    @Test
    void aBeatAsTheFirstWordSaysThatNothingHasChanged() throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, USUAL, told);
            FarServer.next(site.discovery.peers)
                    .write(Site.chunk("\n") + Site.chunk("\n") + Site.chunk(Site.list(42, false, ENTRY) + "\n"));
            assertEquals("41 changes 0", FarServer.next(told));
            assertEquals("42 changes 1", FarServer.next(told));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "{\"rev\":42,\"all\":false,\"targets\":[{}]}",
                "{\"rev\":42,\"all\":false,}",
                "41",
                "rev 42",
                "[]",
                "{\"rev\":42,\"all\":false,\"targets\":[{\"uid\":\"s\",\"endpoint\":\"x\",\"state\":\"Ready\"}]}",
            })
    void aBadListBreaksTheWatch(String list) throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, USUAL, told);
            FarServer.next(site.discovery.peers).write(Site.chunk(list + "\n"));
            assertEquals("failed", FarServer.next(told));
            FarServer.next(site.discovery.ended);
        }
    }

    /** Word of a drain is not hidden for ever by an entry that stays bad; its own server is used no more. */
    @Test
    @Timeout(60)
    void ofAListThatStaysBadWhatCanBeReadHolds() throws Exception {
        try (FarServer drains = FarServer.serving("drains");
                FarServer stays = FarServer.serving("stays");
                FarServer bad = FarServer.serving("bad")) {
            String list = Site.list(
                    2,
                    true,
                    "s0=" + drains.endpoint() + "=Terminating",
                    "s1=" + bad.endpoint() + "=Unheard",
                    "s2=" + stays.endpoint() + "=Ready");
            AtomicInteger calls = new AtomicInteger();
            FarServer discovery = new FarServer((request, peer) -> {
                calls.incrementAndGet();
                peer.write(Site.watchHead() + Site.chunk(list + "\n"));
            });
            try (Site site = new Site(discovery)
                    .startKnowing(Site.list(
                            1, true, "s0=" + drains.endpoint() + "=Ready", "s1=" + bad.endpoint() + "=Ready"))) {
                String served;
                do {
                    served = site.ask(Http.page("/api/p", "t", "20000m")).body();
                } while (!served.equals("stays"));
                for (int i = 0; i < 20; i++) {
                    assertEquals(
                            "stays",
                            site.ask(Http.page("/api/p", "t" + i, "20000m")).body());
                }
                assertEquals(2, calls.get(), "dropped once, then read");
            }
        }
    }

    @Test
    void aListOfAllServersThatThereMayBeIsReadIndented() throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, USUAL, told);
            FarServer.Peer peer = FarServer.next(site.discovery.peers);
            String[] entries = new String[3_200];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = "a-server-with-a-rather-long-name-in-a-large-fleet-of-many-zones-and-cells-" + i
                        + "=127.100.200." + i % 250 + ":18080=Terminating";
            }
            String list = Site.list(42, true, entries)
                    .replace("\"pod_group\"", "\"model\":\"a-model-with-a-rather-long-name\",\"pod_group\"");
            String indented = indented(list).replace("\n", "\n        ");
            assertTrue(indented.length() > 1 << 20, indented.length() + " characters");
            for (int at = 0; at < indented.length(); at += 60_000) {
                peer.write(Site.chunk(indented.substring(at, Math.min(indented.length(), at + 60_000))));
            }
            assertEquals("42 all 3200", FarServer.next(told));
        }
    }

    /** Others begin beside a silent call, which is closed once there are too many. */
    private static void assertIsFollowedAndClosed(Site site) throws Exception {
        for (int call = 1; call <= 4; call++) {
            FarServer.next(site.discovery.requests);
        }
        FarServer.next(site.discovery.ended);
    }

    @Test
    void aSilentCallIsFollowedByOthersAndClosed() throws Exception {
        try (Site site = Site.silent()) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, SHORT, told);
            assertIsFollowedAndClosed(site);
            assertTrue(told.isEmpty());
        }
    }

    @Test
    void aCallThatCameUpAndSaysNothingIsSilentHoweverMuchElseComes() throws Exception {
        try (Site site = new Site(new FarServer((request, peer) -> {
            peer.write(Site.watchHead());
            // An object without end: the connection is not silent, discovery is.
            peer.write(Site.chunk("{\"rev\":"));
            while (true) {
                peer.write(Site.chunk(" "));
            }
        }))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, SHORT, told);
            assertIsFollowedAndClosed(site);
            assertTrue(told.isEmpty());
        }
    }

    @Test
    void aSilentWatchIsHeardUntilTheCallBesideItSpeaks() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (Site site = new Site(new FarServer((request, peer) -> {
            peer.write(Site.watchHead());
            if (calls.getAndIncrement() == 0) {
                peer.write(Site.chunk(Site.list(42, false, ENTRY) + "\n"));
            }
        }))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            watch(site, new Timing(10_000_000, 50_000, 0, 1_000), told);
            FarServer.Peer silent = FarServer.next(site.discovery.peers);
            assertEquals("42 changes 1", FarServer.next(told));
            FarServer.Peer beside = FarServer.next(site.discovery.peers);
            silent.write(Site.chunk(Site.list(43, false, ENTRY) + "\n"));
            assertEquals("43 changes 1", FarServer.next(told));
            assertEquals(beside, FarServer.next(site.discovery.ended), "the watch has spoken again");
            FarServer.Peer next = FarServer.next(site.discovery.peers);
            next.write(Site.chunk(Site.list(44, false, ENTRY) + "\n"));
            assertEquals("44 changes 1", FarServer.next(told));
            assertEquals(silent, FarServer.next(site.discovery.ended), "a newer call has spoken");
        }
    }

    @Test
    void aListIsUsedNoLongerThanTheSettingsGiveForAsking() {
        Settings hurried = onRequest();
        hurried.askWithinUs = 3_000_000;
        long listUs = ServerListLease.Terms.of(hurried).listUs();
        assertTrue(listUs < hurried.askWithinUs + hurried.drainGraceUs, listUs + " us");
    }

    @Test
    void aNodeAsksAgainAfterARefusalAndThenUsesTheList() throws Exception {
        AtomicInteger calls = new AtomicInteger();
        try (FarServer server = FarServer.serving("x");
                FarServer discovery = new FarServer((request, peer) -> peer.write(
                        calls.getAndIncrement() == 0
                                ? Http.answer("503 Busy", "", "")
                                : Site.watchHead()
                                        + Site.chunk(
                                                Site.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n")));
                Site site = new Site(discovery).startKnowing(Site.list(1, true))) {
            assertEquals(200, site.ask(Http.page("/api/p", "t", "5000m")).status());
            assertEquals(2, calls.get());
        }
    }

    @Test
    void aMoveAsksTheNewPlaceForAllThereIsAndTellsOfNoFailure() throws Exception {
        try (Site site = Site.silent();
                FarServer there = new FarServer((request, peer) ->
                        peer.write(Site.watchHead() + Site.chunk(Site.list(7, true, ENTRY) + "\n")))) {
            BlockingQueue<String> told = new LinkedBlockingQueue<>();
            Discovery discovery = watch(site, USUAL, told);
            FarServer.next(site.discovery.requests);
            InetSocketAddress to = NodeConfig.address("discovery", there.endpoint());
            site.loop.execute(() -> discovery.moveTo(to, new SystemClock().nowUs()));
            assertEquals(
                    "/discovery/hosts?watch=1", FarServer.next(there.requests).path());
            assertEquals("7 all 1", FarServer.next(told));
            FarServer.next(site.discovery.ended);
            // Told of the same place again the watch stays; a later call goes to the new place too.
            site.loop.execute(() -> discovery.moveTo(to, new SystemClock().nowUs()));
            FarServer.next(there.peers).reset();
            assertEquals("failed", FarServer.next(told));
            assertEquals(
                    "/discovery/hosts?watch=1&after=7",
                    FarServer.next(there.requests).path());
            assertEquals(2, there.connections.get());
            assertEquals(1, site.discovery.connections.get());
        }
    }

    @Test
    void pushedListsAreWatchedFromTheStartAndBeforeClientsCanConnect() throws Exception {
        try (FarServer leaving = FarServer.serving("leaving");
                FarServer stays = FarServer.serving("stays");
                FarServer agent = new FarServer((request, peer) -> {
                    if (request.path().endsWith("after=1")) {
                        peer.write(Site.watchHead()
                                + Site.chunk(Site.list(
                                                2,
                                                false,
                                                "s0=" + leaving.endpoint() + "=Terminating",
                                                "s1=" + stays.endpoint() + "=Ready")
                                        + "\n"));
                    } else {
                        peer.write(Site.watchHead() + Site.chunk("\n"));
                    }
                });
                Site site = new Site(agent)) {
            site.settings.listOnRequest = false;
            site.startKnowing(Site.list(1, true, "s0=" + leaving.endpoint() + "=Ready"));
            assertEquals("stays", site.ask(Http.page("/api/p", "t", "5000m")).body());
            assertEquals(
                    "/discovery/hosts?watch=1&after=1",
                    FarServer.next(agent.requests).path());
            // A watch that ends is opened anew, without a word from the module.
            FarServer.next(agent.peers).reset();
            assertEquals(
                    "/discovery/hosts?watch=1&after=2",
                    FarServer.next(agent.requests).path());
            FarServer.next(agent.peers).reset();
            assertEquals(
                    "/discovery/hosts?watch=1&after=2",
                    FarServer.next(agent.requests).path());
            assertEquals(0, leaving.connections.get());
        }
    }

    /** What the agent has counts from the first moment of a process, so the list that is known proves nothing. */
    @Test
    void withoutTheAgentThatPushesListsANodeRefusesAtOnceAndIsNotReady() throws Exception {
        try (FarServer server = FarServer.serving("x");
                Site site = Site.silent()) {
            site.settings.listOnRequest = false;
            site.discovery.stop();
            site.startUnconfirmed(Site.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            assertEquals(503, site.ask(Http.page("/up", "t", "5000m")).status());
            Http.Message refusal = site.ask(Http.page("/api/p", "t", "5000m"));
            assertEquals(503, refusal.status());
            assertEquals("0.25", refusal.headers().get("retry-after"));
            assertEquals(0, server.connections.get());
        }
    }
}

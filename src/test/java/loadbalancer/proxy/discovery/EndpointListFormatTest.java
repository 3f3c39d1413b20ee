package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;

import com.fasterxml.jackson.databind.ObjectMapper;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Tests how the client of discovery handles endpoint lists that are split, indented, too long or malformed. */
class EndpointListFormatTest {
    private static String indented(String list) throws IOException {
        ObjectMapper json = new ObjectMapper();
        return json.writerWithDefaultPrettyPrinter().writeValueAsString(json.readTree(list));
    }

    @Test
    void listsMayBeSplitAtAnyByteAndIndented() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.Peer peer = ScriptedHttpServer.next(proxy.discovery.peers);
            String indented = indented(ProxyFixture.list(42, true, RecordedDiscovery.ENTRY, "s1=10.0.0.2:80=Ready"));
            assertTrue(indented.lines().count() > 10, "the list is not indented");
            for (char character : (indented + "\n\n").toCharArray()) {
                peer.write(ProxyFixture.chunk(Character.toString(character)));
            }
            assertEquals("42 complete 2", ScriptedHttpServer.next(recorded.events));
            peer.write(ProxyFixture.chunk(ProxyFixture.list(43, false, RecordedDiscovery.ENTRY)
                    + ProxyFixture.list(44, false) + "\n" + indented.replace("42", "45")));
            assertEquals("43 changes 1", ScriptedHttpServer.next(recorded.events));
            assertEquals("44 changes 0", ScriptedHttpServer.next(recorded.events));
            assertEquals("45 complete 2", ScriptedHttpServer.next(recorded.events));
            assertTrue(recorded.events.isEmpty());
        }
    }

    @Test
    void indentedListOf1024EndpointsIsParsedInPieces() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.Peer peer = ScriptedHttpServer.next(proxy.discovery.peers);
            String[] entries = new String[1_024];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = "server-of-a-large-fleet-" + i + "=127.100.200." + i % 250 + ":18080=Ready";
            }
            String list = indented(ProxyFixture.list(42, true, entries));
            for (int offset = 0; offset < list.length(); offset += 997) {
                peer.write(ProxyFixture.chunk(list.substring(offset, Math.min(list.length(), offset + 997))));
            }
            assertEquals("42 complete 1024", ScriptedHttpServer.next(recorded.events));
        }
    }

    /** Guards against a list of which each byte takes up many bytes of memory. */
    @Test
    void objectThatExceedsTheMaximumNumberOfTokensEndsTheWatch() throws Exception {
        String empty = "{},".repeat(60_000);
        String list = "{\"rev\":42,\"all\":true,\"targets\":[" + empty + "{}]}";
        try (ProxyFixture proxy = new ProxyFixture(new ScriptedHttpServer(
                (request, peer) -> peer.write(ProxyFixture.watchResponseHead() + ProxyFixture.chunk(list))))) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            assertEquals(RecordedDiscovery.CALL_ENDED, ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    "malformed endpoint list: a JSON object exceeds 102400 tokens",
                    ScriptedHttpServer.next(recorded.endReasons));
        }
    }

    @Test
    void objectThatExceedsTheMaximumLengthEndsTheWatch() throws Exception {
        try (ProxyFixture proxy = new ProxyFixture(new ScriptedHttpServer((request, peer) -> {
            peer.write(ProxyFixture.watchResponseHead() + ProxyFixture.chunk("{\"rev\":42,\"targets\":["));
            while (true) {
                peer.write(ProxyFixture.chunk("{},".repeat(10_000)));
            }
        }))) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            assertEquals(RecordedDiscovery.CALL_ENDED, ScriptedHttpServer.next(recorded.events));
            assertEquals(
                    "malformed endpoint list: a JSON object exceeds 1638400 bytes",
                    ScriptedHttpServer.next(recorded.endReasons));
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
    void malformedListEndsTheWatch(String list) throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.next(proxy.discovery.peers).write(ProxyFixture.chunk(list + "\n"));
            assertEquals(RecordedDiscovery.CALL_ENDED, ScriptedHttpServer.next(recorded.events));
            ScriptedHttpServer.next(proxy.discovery.closedConnections);
        }
    }

    /**
     * Guards against an entry that is malformed in every list and thereby blocks all later changes. The second list is
     * decoded without the malformed entry: the draining endpoint receives no requests, and the endpoint of the
     * malformed entry counts as removed.
     */
    @Test
    @Timeout(60)
    void validEntriesOfARepeatedlyMalformedListAreApplied() throws Exception {
        try (ScriptedHttpServer draining = ScriptedHttpServer.serving("draining");
                ScriptedHttpServer ready = ScriptedHttpServer.serving("ready");
                ScriptedHttpServer malformed = ScriptedHttpServer.serving("malformed")) {
            String list = ProxyFixture.list(
                    2,
                    true,
                    "s0=" + draining.endpoint() + "=Terminating",
                    "s1=" + malformed.endpoint() + "=Unknown",
                    "s2=" + ready.endpoint() + "=Ready");
            AtomicInteger calls = new AtomicInteger();
            ScriptedHttpServer discovery = new ScriptedHttpServer((request, peer) -> {
                calls.incrementAndGet();
                peer.write(ProxyFixture.watchResponseHead() + ProxyFixture.chunk(list + "\n"));
            });
            try (ProxyFixture proxy = new ProxyFixture(discovery)
                    .startWithCachedList(ProxyFixture.list(
                            1,
                            true,
                            "s0=" + draining.endpoint() + "=Ready",
                            "s1=" + malformed.endpoint() + "=Ready"))) {
                String served;
                do {
                    served = proxy.ask(HttpMessages.page("/api/p", "t", "20000m"))
                            .body();
                } while (!served.equals("ready"));
                for (int i = 0; i < 20; i++) {
                    assertEquals(
                            "ready",
                            proxy.ask(HttpMessages.page("/api/p", "t" + i, "20000m"))
                                    .body());
                }
                assertEquals(2, calls.get(), "the first list is dropped, the second one is decoded leniently");
            }
        }
    }

    @Test
    void indentedListOfTheMaximumNumberOfEndpointsIsParsed() throws Exception {
        try (ProxyFixture proxy = ProxyFixture.withSilentDiscovery()) {
            RecordedDiscovery recorded = RecordedDiscovery.start(proxy, RecordedDiscovery.DEFAULT_TIMING);
            ScriptedHttpServer.Peer peer = ScriptedHttpServer.next(proxy.discovery.peers);
            String[] entries = new String[3_200];
            for (int i = 0; i < entries.length; i++) {
                entries[i] = "a-server-with-a-rather-long-name-in-a-large-fleet-of-many-zones-and-cells-" + i
                        + "=127.100.200." + i % 250 + ":18080=Terminating";
            }
            String list = ProxyFixture.list(42, true, entries)
                    .replace("\"pod_group\"", "\"model\":\"a-model-with-a-rather-long-name\",\"pod_group\"");
            String indented = indented(list).replace("\n", "\n        ");
            assertTrue(indented.length() > 1 << 20, "the list has only " + indented.length() + " characters");
            for (int offset = 0; offset < indented.length(); offset += 60_000) {
                peer.write(
                        ProxyFixture.chunk(indented.substring(offset, Math.min(indented.length(), offset + 60_000))));
            }
            assertEquals("42 complete 3200", ScriptedHttpServer.next(recorded.events));
        }
    }
}

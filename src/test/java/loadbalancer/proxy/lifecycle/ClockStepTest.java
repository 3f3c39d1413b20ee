package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Wall clocks that are stepped, or that do not agree. */
@Timeout(60)
class ClockStepTest {
    private static final long HOUR_MS = 3_600_000;

    private static String startedAt(String list, long unixMs) {
        return list.replace("\"boot_ms\":0", "\"boot_ms\":" + unixMs);
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 5_000, HOUR_MS})
    void aServerIsUsedWhateverTheClocksSayOfItsStart(long aheadMs) throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            // Whether a server is warm is the module's matter, with tests of its own.
            site.settings.slowStartUs = 0;
            String list = ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready");
            site.startWithCachedList(startedAt(list, System.currentTimeMillis() + aheadMs));
            assertEquals(200, site.ask(HttpMessages.order("a", "20000m")).status());
            assertEquals(200, site.ask(HttpMessages.order("b", "20000m")).status());
            assertEquals(1, server.connections.get(), "the connection is used again");
        }
    }

    /** Also where a clock that was put back makes the new start the earlier one. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, HOUR_MS})
    void aRestartClosesWhatWasOpenToTheProcessBefore(long aheadMs) throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            // Whether a server is warm is the module's matter, with tests of its own.
            site.settings.slowStartUs = 0;
            long now = System.currentTimeMillis();
            String list = ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready");
            site.startWithCachedList(startedAt(list, now));
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(site.discovery.peers);
            assertEquals(200, site.ask(HttpMessages.order("a", "20000m")).status());
            ScriptedHttpServer.Peer before = ScriptedHttpServer.next(server.peers);
            watch.write(ProxyFixture.chunk(startedAt(list.replace("\"rev\":1", "\"rev\":2"), now + aheadMs) + "\n"));
            assertEquals(before, ScriptedHttpServer.next(server.ended));
            assertEquals(200, site.ask(HttpMessages.order("b", "20000m")).status());
        }
    }

    @Test
    void aWordThatChangesNothingOfAServerKeepsItsConnections() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            // Whether a server is warm is the module's matter, with tests of its own.
            site.settings.slowStartUs = 0;
            String list = startedAt(ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready"), HOUR_MS);
            site.startWithCachedList(list);
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(site.discovery.peers);
            assertEquals(200, site.ask(HttpMessages.order("a", "20000m")).status());
            watch.write(ProxyFixture.chunk(list.replace("\"rev\":1", "\"rev\":2") + "\n"));
            assertEquals(200, site.ask(HttpMessages.order("b", "20000m")).status());
            assertEquals(1, server.connections.get());
        }
    }
}

package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Guards against decisions that depend on wall clocks: the start time of an endpoint in the endpoint list may be in the
 * future or in the past of the proxy, and may go back when the endpoint restarts.
 */
@Timeout(60)
class ClockStepTest {
    private static final long HOUR_MS = 3_600_000;

    private static String withStartTime(String list, long unixMs) {
        return list.replace("\"boot_ms\":0", "\"boot_ms\":" + unixMs);
    }

    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, -5_000, 5_000, HOUR_MS})
    void endpointIsUsedWhateverItsStartTime(long clockOffsetMs) throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            // Disables slow start, which other tests cover.
            fixture.settings.slowStartUs = 0;
            String list = ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready");
            fixture.startWithCachedList(withStartTime(list, System.currentTimeMillis() + clockOffsetMs));
            assertEquals(200, fixture.ask(HttpMessages.order("a", "20000m")).status());
            assertEquals(200, fixture.ask(HttpMessages.order("b", "20000m")).status());
            assertEquals(
                    1, server.acceptedCount.get(), "upstream connections; the second request must reuse the first one");
        }
    }

    /** The new start time may be earlier than the old one, if the clock of the endpoint was set back. */
    @ParameterizedTest
    @ValueSource(longs = {-HOUR_MS, HOUR_MS})
    void changedStartTimeClosesConnectionsToThePreviousProcess(long clockOffsetMs) throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            // Disables slow start, which other tests cover.
            fixture.settings.slowStartUs = 0;
            long now = System.currentTimeMillis();
            String list = ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready");
            fixture.startWithCachedList(withStartTime(list, now));
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(fixture.discovery.peers);
            assertEquals(200, fixture.ask(HttpMessages.order("a", "20000m")).status());
            ScriptedHttpServer.Peer before = ScriptedHttpServer.next(server.peers);
            watch.write(ProxyFixture.chunk(
                    withStartTime(list.replace("\"rev\":1", "\"rev\":2"), now + clockOffsetMs) + "\n"));
            assertEquals(before, ScriptedHttpServer.next(server.closedConnections));
            assertEquals(200, fixture.ask(HttpMessages.order("b", "20000m")).status());
        }
    }

    @Test
    void unchangedEndpointEntryKeepsConnections() throws Exception {
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            // Disables slow start, which other tests cover.
            fixture.settings.slowStartUs = 0;
            String list = withStartTime(ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready"), HOUR_MS);
            fixture.startWithCachedList(list);
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(fixture.discovery.peers);
            assertEquals(200, fixture.ask(HttpMessages.order("a", "20000m")).status());
            watch.write(ProxyFixture.chunk(list.replace("\"rev\":1", "\"rev\":2") + "\n"));
            assertEquals(200, fixture.ask(HttpMessages.order("b", "20000m")).status());
            assertEquals(1, server.acceptedCount.get());
        }
    }
}

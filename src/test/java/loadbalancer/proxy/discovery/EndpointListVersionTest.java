package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.proxy.config.EndpointList;

/** Tests which lists {@link EndpointListVersion} accepts, and after which version the next call requests changes. */
class EndpointListVersionTest {
    private static final long CACHED_VERSION = 41;

    private final EndpointListVersion version = new EndpointListVersion(CACHED_VERSION);

    private static EndpointList list(long number, boolean isComplete) {
        return new EndpointList(number, isComplete, List.of());
    }

    @Test
    void higherAndEqualVersionsAreAccepted() {
        assertTrue(version.accept(list(CACHED_VERSION, false), true));
        assertTrue(version.accept(list(43, false), false));
        assertEquals(43, version.comparableOrNone());
    }

    @Test
    void lowerVersionIsRejectedAndTheCompleteListIsRequestedNext() {
        assertFalse(version.accept(list(40, false), true));
        assertEquals(EndpointListVersion.NONE, version.comparableOrNone());
        assertEquals(CACHED_VERSION, version.number());
        assertTrue(version.accept(list(7, true), true));
        assertEquals(7, version.comparableOrNone());
    }

    @Test
    void completeListOfALowerVersionIsAcceptedOnlyAsTheFirstMessage() {
        assertTrue(version.accept(list(40, true), true));
        assertFalse(version.accept(list(39, true), false));
    }

    @Test
    void anyVersionIsAcceptedAfterDiscoveryMoved() {
        version.onDiscoveryMoved();
        assertEquals(EndpointListVersion.NONE, version.comparableOrNone());
        assertTrue(version.accept(list(3, false), false));
        assertEquals(3, version.comparableOrNone());
    }
}

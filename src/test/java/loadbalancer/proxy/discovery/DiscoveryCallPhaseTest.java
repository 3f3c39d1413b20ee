package loadbalancer.proxy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Tests which transitions {@link DiscoveryCallPhase} allows. */
class DiscoveryCallPhaseTest {
    @Test
    void phasesMayFollowInOrder() {
        DiscoveryCallPhase phase = DiscoveryCallPhase.CONNECTING
                .transitionTo(DiscoveryCallPhase.AWAITING_FIRST_MESSAGE)
                .transitionTo(DiscoveryCallPhase.WATCHING)
                .transitionTo(DiscoveryCallPhase.CLOSED);
        assertEquals(DiscoveryCallPhase.CLOSED, phase);
    }

    @ParameterizedTest
    @EnumSource(value = DiscoveryCallPhase.class, mode = EnumSource.Mode.EXCLUDE, names = "CLOSED")
    void callMayBeClosedInEveryOtherPhase(DiscoveryCallPhase phase) {
        assertEquals(DiscoveryCallPhase.CLOSED, phase.transitionTo(DiscoveryCallPhase.CLOSED));
    }

    @ParameterizedTest
    @CsvSource({
        "CONNECTING, CONNECTING",
        "CONNECTING, WATCHING",
        "AWAITING_FIRST_MESSAGE, CONNECTING",
        "AWAITING_FIRST_MESSAGE, AWAITING_FIRST_MESSAGE",
        "WATCHING, CONNECTING",
        "WATCHING, AWAITING_FIRST_MESSAGE",
        "WATCHING, WATCHING",
        "CLOSED, CONNECTING",
        "CLOSED, AWAITING_FIRST_MESSAGE",
        "CLOSED, WATCHING",
        "CLOSED, CLOSED"
    })
    void otherTransitionsAreRejected(DiscoveryCallPhase phase, DiscoveryCallPhase next) {
        assertThrows(IllegalStateException.class, () -> phase.transitionTo(next));
    }
}

package loadbalancer.proxy.downstream;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

/** Transitions between the phases of a client connection, of its input and of the server. */
class ConnectionPhaseTest {
    @ParameterizedTest
    @CsvSource({"IDLE, IDLE, CLOSING", "SERVING, IDLE, SERVING_LAST", "SERVING_LAST, CLOSING, SERVING_LAST"})
    void connectionClosesAfterItsLastResponse(
            ClientConnectionPhase phase, ClientConnectionPhase afterResponse, ClientConnectionPhase withoutFurther) {
        assertEquals(afterResponse, phase.onResponseWritten());
        assertEquals(withoutFurther, phase.withoutFurtherRequests());
    }

    @ParameterizedTest
    @EnumSource(names = "IDLE", mode = EnumSource.Mode.EXCLUDE)
    void onlyAnIdleConnectionServesTheNextRequest(ClientConnectionPhase phase) {
        assertEquals(ClientConnectionPhase.SERVING, ClientConnectionPhase.IDLE.onRequest());
        assertThrows(IllegalStateException.class, phase::onRequest);
    }

    @ParameterizedTest
    @CsvSource({"BETWEEN_REQUESTS, CLOSED", "IN_REQUEST, CLOSED_IN_REQUEST", "CLOSED, CLOSED"})
    void closedInputStaysClosed(InputPhase phase, InputPhase closed) {
        assertEquals(closed, phase.onClosed());
        assertEquals(InputPhase.CLOSED, closed.onBytesDecoded(true));
        assertThrows(IllegalStateException.class, closed::onBytes);
    }

    @Test
    void partialRequestIsKnownOnceBytesAreDecoded() {
        InputPhase reading = InputPhase.BETWEEN_REQUESTS.onBytes();
        assertEquals(InputPhase.IN_REQUEST, reading.onBytesDecoded(true));
        assertEquals(InputPhase.BETWEEN_REQUESTS, reading.onBytesDecoded(false));
    }

    @Test
    void serverClosesConnectionsOnlyAfterAShutdownRequest() {
        assertThrows(IllegalStateException.class, ServerPhase.SERVING::onServingTimeOver);
        assertEquals(
                ServerPhase.CLOSING, ServerPhase.SERVING.onShutdownRequested().onServingTimeOver());
        assertEquals(ServerPhase.CLOSING, ServerPhase.CLOSING.onShutdownRequested());
    }
}

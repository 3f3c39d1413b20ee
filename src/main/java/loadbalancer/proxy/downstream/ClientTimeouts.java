package loadbalancer.proxy.downstream;

import java.util.concurrent.TimeUnit;

import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;

/** Measures for how long a connection has waited for its client, and determines which timeout the client has exceeded. */
final class ClientTimeouts {
    private final Clock clock;
    private long waitingSinceUs;

    ClientTimeouts(Clock clock) {
        this.clock = clock;
        restart();
    }

    /** Begins to wait for the client to send a request or to receive a response. */
    void restart() {
        waitingSinceUs = clock.nowUs();
    }

    /** Returns how long the proxy has waited for the client to send a request or to receive a response. */
    long waitingUs() {
        return clock.nowUs() - waitingSinceUs;
    }

    /** Returns whether the proxy has waited longer than this for the client to send a request or receive a response. */
    boolean hasWaitedLongerThan(long durationMs) {
        return waitingUs() > TimeUnit.MILLISECONDS.toMicros(durationMs);
    }

    /** Returns the timeout that the client has exceeded while no request awaits its response, or null if there is none. */
    CloseReason exceeded(ClientConnectionPhase phase, ClientRequestReader reader, ClientConnection connection) {
        if (phase.isServing()) {
            return reasonAfter(ConnectionLimits.WRITE_TIMEOUT_MS, CloseReason.WRITE_TIMEOUT);
        }
        if (reader.isClosed() || !connection.hasNoPendingInput()) {
            return null;
        }
        return reader.hasReceivedRequest()
                ? reasonAfter(ConnectionLimits.KEEP_ALIVE_TIMEOUT_MS, CloseReason.KEEP_ALIVE_TIMEOUT)
                : reasonAfter(ConnectionLimits.READ_TIMEOUT_MS, CloseReason.READ_TIMEOUT);
    }

    private CloseReason reasonAfter(long timeoutMs, CloseReason reason) {
        return hasWaitedLongerThan(timeoutMs) ? reason : null;
    }
}

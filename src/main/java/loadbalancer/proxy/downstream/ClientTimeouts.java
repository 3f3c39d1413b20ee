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

    /** Returns whether the client has not received a response in time. */
    boolean isWriteTimeoutExceeded() {
        return hasWaitedLongerThan(ConnectionLimits.WRITE_TIMEOUT_MS);
    }

    /** Returns whether a connection without a request has been open for too long. */
    boolean isIdleTimeoutExceeded(boolean hasReceivedRequest) {
        return hasWaitedLongerThan(
                hasReceivedRequest ? ConnectionLimits.KEEP_ALIVE_TIMEOUT_MS : ConnectionLimits.READ_TIMEOUT_MS);
    }
}

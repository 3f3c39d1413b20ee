package loadbalancer.proxy.downstream;

import loadbalancer.proxy.resources.ConnectionLimits;

/** Determines which timeout a client connection has exceeded while no request awaits its response. */
final class ClientTimeouts {
    private ClientTimeouts() {}

    /** Returns the timeout that the client has exceeded, or null if there is none. */
    static CloseReason exceeded(ClientConnectionPhase phase, ClientRequestReader reader, ClientConnection connection) {
        if (phase.isServing()) {
            return reasonAfter(ConnectionLimits.WRITE_TIMEOUT_MS, CloseReason.WRITE_TIMEOUT, connection);
        }
        if (reader.isClosed() || !connection.hasNoPendingInput()) {
            return null;
        }
        return reader.hasReceivedRequest()
                ? reasonAfter(ConnectionLimits.KEEP_ALIVE_TIMEOUT_MS, CloseReason.KEEP_ALIVE_TIMEOUT, connection)
                : reasonAfter(ConnectionLimits.READ_TIMEOUT_MS, CloseReason.READ_TIMEOUT, connection);
    }

    private static CloseReason reasonAfter(long timeoutMs, CloseReason reason, ClientConnection connection) {
        return connection.hasWaitedForClientLongerThan(timeoutMs) ? reason : null;
    }
}

package loadbalancer.proxy.downstream;

import java.net.SocketAddress;

import io.netty.handler.codec.http.HttpResponseStatus;

import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;

/** Logs the events of one client connection, and the first reason for its close only. */
final class ClientConnectionLog {
    private final SocketAddress clientAddress;
    private boolean isCloseLogged;

    ClientConnectionLog(SocketAddress clientAddress) {
        this.clientAddress = clientAddress;
    }

    /** Logs that the proxy responds by itself, without a decision of the decision module. */
    void refused(HttpResponseStatus status, String reason) {
        EventLog.requestEvent(() -> LogEvent.named("request_refused")
                .with("client", clientAddress)
                .with("status", status.code())
                .with("reason", reason));
    }

    /**
     * Logs that the connection closes.
     *
     * @param openRequest the request that has no response yet, or null
     */
    void closed(String reason, ClientRequest openRequest) {
        if (isCloseLogged) {
            return;
        }
        isCloseLogged = true;
        EventLog.requestEvent(() -> LogEvent.named("client_connection_closed")
                .with("client", clientAddress)
                .with("reason", reason)
                .with("request", openRequest == null ? "" : openRequest.transactionId()));
    }
}

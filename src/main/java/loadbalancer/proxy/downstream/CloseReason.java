package loadbalancer.proxy.downstream;

/**
 * The reasons for closing a client connection, with their texts in the log. The proxy closes a connection of its own
 * accord only by {@link ClientConnection#closeIfUnused}; what closes it at once is a client that does not read, or that
 * has gone.
 */
enum CloseReason {
    LAST_RESPONSE_WRITTEN("last response written"),
    KEEP_ALIVE_TIMEOUT("keep-alive timeout"),
    READ_TIMEOUT("read timeout"),
    WRITE_TIMEOUT("write timeout"),
    WRITE_FAILED("write failed"),
    CLIENT_DISCONNECTED("client disconnected"),
    CONNECTION_FAILED("connection failed"),
    EVICTED("evicted"),
    OUT_OF_MEMORY_BUDGET("out of memory budget"),
    GRACEFUL_SHUTDOWN("graceful shutdown"),
    SHUTDOWN("shutdown");

    private final String text;

    CloseReason(String text) {
        this.text = text;
    }

    @Override
    public String toString() {
        return text;
    }
}

package loadbalancer.proxy.downstream;

/** Serves the requests of clients. */
public interface ClientRequestHandler {
    /**
     * Accepts a complete request with valid headers. The handler must respond to it once, by
     * {@link ClientConnection#respond}.
     *
     * @param arrivedAtUs when the last byte of the request was read, in microseconds of the proxy's clock
     * @throws BadRequestException if the handler rejects the request; the connection then sends the response
     */
    void onRequest(ClientConnection client, ClientRequest request, long arrivedAtUs) throws BadRequestException;

    /** Returns whether the readiness check succeeds. */
    boolean isReady();

    /** Notifies the handler that the client of an accepted request has disconnected before the response. */
    void onClientDisconnected(ClientConnection client, ClientRequest request);
}

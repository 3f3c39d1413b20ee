package loadbalancer.proxy.downstream;

import loadbalancer.proxy.resources.MemoryBudget;

/** The memory that one client connection has reserved for its requests and for the response that is being written. */
final class ClientConnectionMemory {
    private static final double US_PER_S = 1e6;

    private final ClientRequestReader reader;
    private final RequestPipeline pipeline;
    /** The memory of requests that have arrived, in part or completely, and have no response yet. */
    private final MemoryBudget.Reservation requests;

    private final MemoryBudget.Reservation response;

    ClientConnectionMemory(
            ClientRequestReader reader,
            RequestPipeline pipeline,
            MemoryBudget.Reservation requests,
            MemoryBudget.Reservation response) {
        this.reader = reader;
        this.pipeline = pipeline;
        this.requests = requests;
        this.response = response;
    }

    /**
     * Reserves the memory that the requests take up now.
     *
     * @param isOpen whether the connection is open; otherwise its requests are discarded
     * @param openRequest the request that is being served, or null
     */
    void update(boolean isOpen, ClientRequest openRequest) {
        long openRequestBytes = openRequest == null ? 0 : openRequest.heldBytes();
        requests.resize(isOpen ? inputBytes() + openRequestBytes : 0);
    }

    /** Returns the memory of requests that are not being served yet. */
    private long inputBytes() {
        return reader.heldBytes() + pipeline.heldBytes();
    }

    /** Returns the memory of requests that are not being served yet, multiplied by how long they have taken it up. */
    double inputByteSeconds() {
        return inputBytes() * (reader.incompleteForUs() + 1) / US_PER_S;
    }

    /** Returns whether there are requests whose rejection would release memory. */
    boolean hasRejectableInput() {
        return reader.hasRejectableInput() || pipeline.hasRequestsToForward();
    }

    /** Rejects the requests that are not being served yet, to release their memory. Clients may safely retry them. */
    void rejectInput() {
        pipeline.rejectAllForLackOfMemory();
        reader.rejectForLackOfMemory();
    }

    void reserveResponse(int bytes) {
        response.resize(bytes);
    }

    void releaseResponse() {
        response.release();
    }

    /** Returns whether a response is being written. */
    boolean hasUnwrittenResponse() {
        return response.bytes() > 0;
    }
}

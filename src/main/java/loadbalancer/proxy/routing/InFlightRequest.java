package loadbalancer.proxy.routing;

import java.util.ArrayList;
import java.util.List;

import loadbalancer.proxy.downstream.ClientConnection;
import loadbalancer.proxy.downstream.ClientRequest;

/** A client's request, from its arrival until its last attempt has ended. */
public final class InFlightRequest {
    public final long id;
    public final ClientRequest request;
    public final ClientConnection client;
    public final long deadlineUs;
    public final List<Attempt> attempts = new ArrayList<>(1);
    /** The number of attempts whose end the decision module has not been notified of. */
    public int outstandingAttempts;
    /** Whether an endpoint may have executed the request. */
    public boolean mayHaveBeenExecuted;
    /** Whether the final response has been sent or the client has disconnected. */
    public boolean isEnded;

    /**
     * Creates a request without attempts.
     *
     * @param id the id of the request in the decision module
     * @param deadlineUs the time by which the request must have its final response
     */
    public InFlightRequest(long id, ClientRequest request, ClientConnection client, long deadlineUs) {
        this.id = id;
        this.request = request;
        this.client = client;
        this.deadlineUs = deadlineUs;
    }
}

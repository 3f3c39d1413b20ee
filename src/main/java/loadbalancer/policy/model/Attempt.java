package loadbalancer.policy.model;

import loadbalancer.policy.AttemptResult;

/** One attempt to have a request served by an endpoint. */
public final class Attempt {
    private final Endpoint endpoint;
    private final int number;
    private final long startedAtUs;
    private final int zone;
    private final int cell;
    private final long incarnationStartedAtUs;
    private AttemptResult result;
    private boolean countedAsFailure;
    private boolean released;

    Attempt(Endpoint endpoint, int number, long startedAtUs) {
        this.endpoint = endpoint;
        this.number = number;
        this.startedAtUs = startedAtUs;
        zone = endpoint.zone();
        cell = endpoint.cell();
        incarnationStartedAtUs = endpoint.incarnationStartedAtUs();
    }

    public Endpoint endpoint() {
        return endpoint;
    }

    /** Returns the number of this attempt among the attempts of its request, from 0. */
    public int number() {
        return number;
    }

    public long startedAtUs() {
        return startedAtUs;
    }

    /** Returns the zone that the endpoint had when the attempt started. */
    public int zone() {
        return zone;
    }

    /** Returns the cell that the endpoint had when the attempt started. */
    public int cell() {
        return cell;
    }

    /** Returns whether the endpoint still is in the same place and has the same incarnation as at the start. */
    public boolean isEndpointUnchanged() {
        return endpoint.zone() == zone
                && endpoint.cell() == cell
                && endpoint.incarnationStartedAtUs() == incarnationStartedAtUs;
    }

    /** Returns how the attempt ended, or null while it is in flight. */
    public AttemptResult result() {
        return result;
    }

    /** Returns whether the attempt has not ended; an attempt released as lost is in flight until it ends. */
    public boolean isInFlight() {
        return result == null;
    }

    void setResult(AttemptResult newResult) {
        result = newResult;
    }

    /** Returns whether the endpoint may have executed the request; always true while the attempt is in flight. */
    boolean mayHaveBeenExecuted() {
        return result == null || !result.knownNotExecuted;
    }

    /** Returns whether the attempt was counted as a failure before it ended; its result is then not counted again. */
    public boolean isCountedAsFailure() {
        return countedAsFailure;
    }

    /** Marks the attempt as counted as a failure before its end. */
    public void setCountedAsFailure() {
        countedAsFailure = true;
    }

    /**
     * Returns whether a failure of the attempt indicates overload of the endpoint rather than a fault: a rejection, or a
     * timeout although the endpoint has responded to a request of the class since the attempt started.
     */
    public boolean indicatesOverload(int classIndex, AttemptResult failure) {
        return failure == AttemptResult.REJECTED
                || (failure == AttemptResult.TIMEOUT
                        && endpoint.healthOf(classIndex).lastResponseAtUs() >= startedAtUs);
    }

    /** Returns whether the endpoint no longer counts the attempt as in flight: it has ended or is considered lost. */
    public boolean isReleased() {
        return released;
    }

    /** Marks the attempt as no longer counted as in flight at its endpoint. */
    public void setReleased() {
        released = true;
    }
}

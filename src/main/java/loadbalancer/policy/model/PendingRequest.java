package loadbalancer.policy.model;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.Request;
import loadbalancer.policy.RequestClass;

/** A request without its final response, or with attempts that have not ended, and all its attempts. */
public final class PendingRequest {
    private enum Phase {
        /** Has attempts in flight, or is about to. */
        ACTIVE,
        /** Waits in the request queue. */
        QUEUED,
        /** Has its final response, or its client has left. */
        FINISHED
    }

    private final Request request;
    private final RequestClass requestClass;
    private final long arrivedAtUs;
    private final long latencyObjectiveAtUs;
    private final long deadlineAtUs;
    private final Attempt[] attempts;
    private final long keySeed;
    private Phase phase = Phase.ACTIVE;
    private int attemptCount;
    private int inFlight;
    private double priority;
    private boolean overQuota;
    private boolean late;
    private boolean streaming;
    private boolean clientDisconnected;

    /** A request that has just arrived. */
    public PendingRequest(Request request, LoadBalancerSettings settings, long nowUs) {
        this.request = request;
        requestClass = settings.classes.get(request.classIndex());
        arrivedAtUs = nowUs;
        deadlineAtUs = nowUs + Math.max(0, request.remainingUs());
        latencyObjectiveAtUs = Math.min(deadlineAtUs, nowUs + latencyObjectiveUs(request, requestClass));
        attempts = new Attempt[settings.maxAttempts];
        keySeed = settings.endpointsCacheKeys && request.key() != null ? KeyHash.seedOf(request.key()) : 0;
    }

    private static long latencyObjectiveUs(Request request, RequestClass requestClass) {
        long stretchUs = (long) (requestClass.latencyObjectiveWorkFactor() * request.workUs());
        return Math.min(requestClass.deadlineUs(), requestClass.latencyObjectiveUs() + stretchUs);
    }

    /** What names it to the caller. */
    public long id() {
        return request.id();
    }

    /** Index of its class in the settings. */
    public int classIndex() {
        return request.classIndex();
    }

    /** Index of its tenant in the settings, or -1. */
    public int tenant() {
        return request.tenant();
    }

    /** Its class. */
    public RequestClass requestClass() {
        return requestClass;
    }

    /** When it arrived. */
    public long arrivedAtUs() {
        return arrivedAtUs;
    }

    /** A response until then earns the full priority weight. */
    public long latencyObjectiveAtUs() {
        return latencyObjectiveAtUs;
    }

    /** The latency objective counted from the arrival, in microseconds. */
    public long latencyObjectiveUs() {
        return latencyObjectiveAtUs - arrivedAtUs;
    }

    /** When its client stops waiting. */
    public long deadlineAtUs() {
        return deadlineAtUs;
    }

    /** Whether its endpoints are picked by its key. */
    public boolean hasKeyAffinity() {
        return keySeed != 0;
    }

    /** Determines the picks by its key; 0 without key affinity. */
    public long keySeed() {
        return keySeed;
    }

    // Queueing and the final response.

    /** Whether it waits in the request queue. */
    public boolean isQueued() {
        return phase == Phase.QUEUED;
    }

    /** It waits in the request queue from now on. */
    public void enqueue() {
        requireUnfinished();
        phase = Phase.QUEUED;
    }

    /** It has left the request queue. */
    public void dequeue() {
        requireUnfinished();
        phase = Phase.ACTIVE;
    }

    /** Whether it has its final response, or its client has left. */
    public boolean isFinished() {
        return phase == Phase.FINISHED;
    }

    /** It has its final response, or its client has left. */
    public void finish() {
        phase = Phase.FINISHED;
    }

    private void requireUnfinished() {
        if (phase == Phase.FINISHED) {
            throw new IllegalStateException("request " + request.id() + " is finished");
        }
    }

    /** Whether it is finished and has no attempt in flight. */
    public boolean isDone() {
        return isFinished() && inFlight == 0;
    }

    // Priority.

    /** Its priority in the queue; the highest goes first. */
    public double priority() {
        return priority;
    }

    /** Sets the priority. */
    public void setPriority(double newPriority) {
        priority = newPriority;
    }

    /** Whether it is treated as beyond its tenant's quota. */
    public boolean isOverQuota() {
        return overQuota;
    }

    /** It is treated as beyond its tenant's quota. */
    public void setOverQuota() {
        overQuota = true;
    }

    /** Whether it is known to miss its latency objective. */
    public boolean isLate() {
        return late;
    }

    /** It is known to miss its latency objective, which lowers its priority. */
    public void setLate() {
        late = true;
        priority *= requestClass.latePriorityFactor();
    }

    // What its client and its response have done.

    /** Whether a streamed response has begun, so that no other attempt can follow. */
    public boolean isStreaming() {
        return streaming;
    }

    /** A streamed response has begun. */
    public void setStreaming() {
        streaming = true;
    }

    /** Whether its client has closed the connection. */
    public boolean isClientDisconnected() {
        return clientDisconnected;
    }

    /** Its client has closed the connection. */
    public void setClientDisconnected() {
        clientDisconnected = true;
    }

    // Attempts.

    /** Adds an attempt that begins now. */
    public Attempt startAttempt(Endpoint endpoint, long nowUs) {
        Attempt attempt = new Attempt(endpoint, attemptCount, nowUs);
        attempts[attemptCount] = attempt;
        attemptCount++;
        inFlight++;
        return attempt;
    }

    /** Notes how an attempt ended. */
    public void endAttempt(Attempt attempt, AttemptResult result) {
        attempt.setResult(result);
        inFlight--;
    }

    /** How many attempts have been made. */
    public int attemptCount() {
        return attemptCount;
    }

    /** The attempt of this number, or null if there is none. */
    public Attempt attempt(int number) {
        return number < 0 || number >= attemptCount ? null : attempts[number];
    }

    /** Attempts that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    /** Whether an attempt was made at an endpoint. */
    public boolean hasTried(Endpoint endpoint) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** The earliest attempt that may have been executed, or null: it restricts retries and rejection. */
    public Attempt firstPossiblyExecuted() {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].mayHaveBeenExecuted()) {
                return attempts[i];
            }
        }
        return null;
    }
}

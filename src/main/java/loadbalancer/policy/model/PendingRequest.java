package loadbalancer.policy.model;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.Request;
import loadbalancer.policy.RequestClass;

/** A request that has no final response yet or still has attempts in flight, with all its attempts. */
public final class PendingRequest {
    private enum Phase {
        /** Has attempts in flight, or is about to start one. */
        ACTIVE,
        /** Waits in the request queue. */
        QUEUED,
        /** Has its final response, or its client has disconnected. */
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

    /** Creates a request that arrives now, neither queued nor attempted. */
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
        long extensionUs = (long) (requestClass.latencyObjectiveWorkFactor() * request.workUs());
        return Math.min(requestClass.deadlineUs(), requestClass.latencyObjectiveUs() + extensionUs);
    }

    /** Returns the id by which the caller refers to the request. */
    public long id() {
        return request.id();
    }

    /** Returns the index of the request class in the settings. */
    public int classIndex() {
        return request.classIndex();
    }

    /** Returns the index of the tenant in the settings, or -1. */
    public int tenantIndex() {
        return request.tenant();
    }

    public RequestClass requestClass() {
        return requestClass;
    }

    public long arrivedAtUs() {
        return arrivedAtUs;
    }

    /** Returns the time until which a response earns the full priority weight. */
    public long latencyObjectiveAtUs() {
        return latencyObjectiveAtUs;
    }

    /** Returns the latency objective as a duration from the arrival. */
    public long latencyObjectiveUs() {
        return latencyObjectiveAtUs - arrivedAtUs;
    }

    /** Returns the time at which the client stops waiting. */
    public long deadlineAtUs() {
        return deadlineAtUs;
    }

    /** Returns whether the request's key determines which endpoints are picked. */
    public boolean hasKeyAffinity() {
        return keySeed != 0;
    }

    /** Returns the seed that determines the picks by key; 0 without key affinity. */
    public long keySeed() {
        return keySeed;
    }

    // Queueing and the final response.

    public boolean isQueued() {
        return phase == Phase.QUEUED;
    }

    /**
     * Marks the request as waiting in the request queue.
     *
     * @throws IllegalStateException if the request is finished
     */
    public void enqueue() {
        requireUnfinished();
        phase = Phase.QUEUED;
    }

    /**
     * Marks the request as taken out of the request queue.
     *
     * @throws IllegalStateException if the request is finished
     */
    public void dequeue() {
        requireUnfinished();
        phase = Phase.ACTIVE;
    }

    /** Returns whether the request has its final response, or its client has disconnected. */
    public boolean isFinished() {
        return phase == Phase.FINISHED;
    }

    /** Marks the request as finished: it has its final response, or its client has disconnected. */
    public void finish() {
        phase = Phase.FINISHED;
    }

    private void requireUnfinished() {
        if (phase == Phase.FINISHED) {
            throw new IllegalStateException("cannot queue or dequeue request " + request.id() + ": it is finished");
        }
    }

    /** Returns whether the request is finished and has no attempt in flight, so that it can be forgotten. */
    public boolean canBeRemoved() {
        return isFinished() && inFlight == 0;
    }

    // Priority.

    /** Returns the priority in the request queue; the highest goes first. */
    public double priority() {
        return priority;
    }

    public void setPriority(double newPriority) {
        priority = newPriority;
    }

    /** Returns whether the request is treated as over its tenant's quota. */
    public boolean isOverQuota() {
        return overQuota;
    }

    public void setOverQuota() {
        overQuota = true;
    }

    /** Returns whether the request is expected to miss its latency objective. */
    public boolean isLate() {
        return late;
    }

    /** Marks the request as expected to miss its latency objective, and lowers its priority accordingly. */
    public void setLate() {
        late = true;
        priority *= requestClass.latePriorityFactor();
    }

    // Response stream and client connection.

    /** Returns whether a streamed response has begun, after which no other attempt can follow. */
    public boolean isStreaming() {
        return streaming;
    }

    public void setStreaming() {
        streaming = true;
    }

    public boolean isClientDisconnected() {
        return clientDisconnected;
    }

    public void setClientDisconnected() {
        clientDisconnected = true;
    }

    // Attempts.

    /** Adds an attempt that starts now; the settings limit how many a request may have. */
    public Attempt startAttempt(Endpoint endpoint, long nowUs) {
        Attempt attempt = new Attempt(endpoint, attemptCount, nowUs);
        attempts[attemptCount] = attempt;
        attemptCount++;
        inFlight++;
        return attempt;
    }

    /** Records the result of an attempt, which is then no longer in flight. */
    public void endAttempt(Attempt attempt, AttemptResult result) {
        attempt.setResult(result);
        inFlight--;
    }

    /** Returns the number of attempts so far, including those in flight. */
    public int attemptCount() {
        return attemptCount;
    }

    /** Returns the attempt with this number, or null if there is none. */
    public Attempt attempt(int number) {
        return number < 0 || number >= attemptCount ? null : attempts[number];
    }

    /** Returns the number of attempts that have not ended. */
    public int inFlight() {
        return inFlight;
    }

    /** Returns whether the request has had an attempt at this endpoint. */
    public boolean hasTried(Endpoint endpoint) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i].endpoint() == endpoint) {
                return true;
            }
        }
        return false;
    }

    /** Returns the first attempt that may have been executed, or null; it restricts retries and rejection. */
    public Attempt firstPossiblyExecutedAttempt() {
        return firstPossiblyExecutedAttemptExcept(null);
    }

    /** Returns the first attempt other than this one that may have been executed, or null; it restricts this one. */
    public Attempt firstPossiblyExecutedAttemptExcept(Attempt excluded) {
        for (int i = 0; i < attemptCount; i++) {
            if (attempts[i] != excluded && attempts[i].mayHaveBeenExecuted()) {
                return attempts[i];
            }
        }
        return null;
    }
}

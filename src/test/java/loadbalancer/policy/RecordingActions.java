package loadbalancer.policy;

import java.util.ArrayList;
import java.util.List;

import loadbalancer.policy.log.PolicyEvent;

/** A record of the actions that a class under test requests. */
public final class RecordingActions implements LoadBalancerActions {
    public final List<String> startedAttempts = new ArrayList<>();
    public final List<String> cancelledAttempts = new ArrayList<>();
    public final List<Long> rejected = new ArrayList<>();
    public final List<Long> failed = new ArrayList<>();
    public final List<Long> timers = new ArrayList<>();
    public final List<String> closedEndpoints = new ArrayList<>();
    public final List<PolicyEvent> events = new ArrayList<>();
    public int watchCount;

    @Override
    public void startAttempt(long requestId, String endpointId, long deadlineUs) {
        startedAttempts.add(requestId + " at " + endpointId + " until " + deadlineUs);
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        cancelledAttempts.add(requestId + "/" + attemptNumber);
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        rejected.add(requestId);
    }

    @Override
    public void fail(long requestId) {
        failed.add(requestId);
    }

    @Override
    public void setTimer(long atUs) {
        timers.add(atUs);
    }

    @Override
    public void closeIdleConnections(String endpointId) {
        closedEndpoints.add(endpointId);
    }

    @Override
    public void watchEndpointList() {
        watchCount++;
    }

    @Override
    public void record(PolicyEvent event) {
        events.add(event);
    }
}

package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import loadbalancer.policy.log.PolicyEvent;

/** A caller of the decision module that reports random events and fails the test at the first violation of a rule. */
final class RuleCheckingCaller implements LoadBalancerActions {
    private static final long START_US = 5_000_000;
    private static final EndpointState[] STATES = {
        EndpointState.READY, EndpointState.READY, EndpointState.READY, EndpointState.DRAINING, EndpointState.REMOVED
    };
    private static final AttemptResult[] FAILURES = {
        AttemptResult.ERROR,
        AttemptResult.REJECTED,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET,
        AttemptResult.NOT_SENT
    };

    private final SplittableRandom random;
    private final LoadBalancerSettings settings;
    private final LoadBalancer loadBalancer;
    private final Map<Long, TrackedRequest> requests = new LinkedHashMap<>();
    private final Map<String, EndpointListEntry> endpoints = new LinkedHashMap<>();
    private final Map<EndpointListEntry, List<WarmUpAttempt>> warmUpAttempts = new LinkedHashMap<>();
    private final PriorityQueue<DueOutcome> dueOutcomes =
            new PriorityQueue<>(Comparator.comparingLong(DueOutcome::atUs));
    private final PriorityQueue<Long> timers = new PriorityQueue<>();
    private final StringBuilder trace = new StringBuilder();
    private long nowUs = START_US;
    private long nextId = 1;
    private long servedCount;
    private int finishedCount;

    /** An attempt at an endpoint that is warming up, with the number of endpoints that are ready at its start. */
    record WarmUpAttempt(long startedAtUs, long readyEndpoints) {}

    /** The result of an attempt in flight and the time at which the attempt will end. */
    private record DueOutcome(long atUs, long requestId, int attemptNumber, AttemptResult result) {}

    RuleCheckingCaller(long seed) {
        random = new SplittableRandom(seed);
        settings = RandomSettings.draw(random);
        loadBalancer = new ServiceQLoadBalancer(settings, seed, this);
    }

    LoadBalancerSettings settings() {
        return settings;
    }

    int requestCount() {
        return requests.size();
    }

    /** Returns the number of requests that have a final response or whose client has disconnected. */
    int finishedCount() {
        return finishedCount;
    }

    /** Returns the number of requests that were served. */
    long servedCount() {
        return servedCount;
    }

    /** Returns the number of requests served per second. */
    double servedPerSecond() {
        return servedCount / ((nowUs - START_US) / 1e6);
    }

    /** Returns the attempts at endpoints that are warming up, by list entry and thus by incarnation. */
    Map<EndpointListEntry, List<WarmUpAttempt>> warmUpAttempts() {
        return warmUpAttempts;
    }

    /** Returns all actions as text. */
    String trace() {
        return trace.toString();
    }

    /** Reports this number of random events, and runs until all requests and attempts have ended. */
    void run(int eventCount) {
        loadBalancer.onEndpointList(nowUs, EndpointListKind.CACHED, List.of());
        for (int i = 0; i < 5; i++) {
            changeEndpointList();
        }
        long nextEventUs = nowUs;
        int reportedEvents = 0;
        while (reportedEvents < eventCount || !dueOutcomes.isEmpty() || hasUnfinishedRequests()) {
            long atUs = Math.min(reportedEvents < eventCount ? nextEventUs : Long.MAX_VALUE, nextOutcomeOrTimerUs());
            assertTrue(atUs < Long.MAX_VALUE, "no timer is set although requests are pending");
            nowUs = Math.max(nowUs, atUs);
            if (!dueOutcomes.isEmpty() && dueOutcomes.peek().atUs <= nowUs) {
                endAttempt(dueOutcomes.poll());
            } else if (!timers.isEmpty() && timers.peek() <= nowUs) {
                timers.poll();
                loadBalancer.onTimer(nowUs);
            } else {
                reportedEvents++;
                nextEventUs = nowUs + random.nextInt(30_000);
                reportRandomEvent();
            }
        }
    }

    private long nextOutcomeOrTimerUs() {
        return Math.min(
                dueOutcomes.isEmpty() ? Long.MAX_VALUE : dueOutcomes.peek().atUs,
                timers.isEmpty() ? Long.MAX_VALUE : timers.peek());
    }

    private boolean hasUnfinishedRequests() {
        return requests.values().stream().anyMatch(request -> !request.isFinished());
    }

    private void reportRandomEvent() {
        int percent = random.nextInt(100);
        if (percent < 2) {
            changeEndpointList();
        } else if (percent < 3) {
            loadBalancer.onEndpointListFailed(nowUs);
        } else if (percent < 5 && nextId > 1) {
            disconnectClient(1 + random.nextLong(nextId - 1));
        } else {
            sendRequest();
        }
    }

    private void sendRequest() {
        int classIndex = random.nextInt(settings.classes.size());
        long remainingUs = random.nextInt(10) == 0 ? random.nextInt(3_000) : 20_000 + random.nextInt(900_000);
        long id = nextId++;
        requests.put(id, new TrackedRequest(settings.classes.get(classIndex), nowUs + remainingUs));
        loadBalancer.onRequest(
                nowUs,
                new Request(
                        id,
                        classIndex,
                        random.nextInt(2) - 1,
                        remainingUs,
                        0,
                        false,
                        random.nextInt(4) == 0 ? null : "k" + random.nextInt(40)));
    }

    private void disconnectClient(long id) {
        TrackedRequest request = requests.get(id);
        if (!request.isFinished()) {
            request.finish();
            finishedCount++;
        }
        loadBalancer.onClientDisconnected(nowUs, id);
    }

    private void changeEndpointList() {
        List<EndpointListEntry> changes = new ArrayList<>();
        for (int i = 0; i < 1 + random.nextInt(3); i++) {
            EndpointListEntry entry = drawEntry();
            if (endpoints.containsKey(entry.id()) || entry.state() != EndpointState.REMOVED) {
                changes.add(entry);
            }
        }
        boolean complete = random.nextInt(6) == 0;
        if (complete) {
            changes.removeIf(entry -> entry.state() == EndpointState.REMOVED);
            endpoints.replaceAll((id, entry) -> new EndpointListEntry(
                    id, entry.zone(), entry.cell(), EndpointState.REMOVED, 1, entry.startedAtUs()));
        }
        changes.forEach(entry -> endpoints.put(entry.id(), entry));
        loadBalancer.onEndpointList(nowUs, complete ? EndpointListKind.COMPLETE : EndpointListKind.CHANGES, changes);
    }

    private EndpointListEntry drawEntry() {
        int number = random.nextInt(9);
        EndpointState state = STATES[random.nextInt(STATES.length)];
        long startedAtUs = state == EndpointState.READY && random.nextInt(3) == 0 ? nowUs : 0;
        return new EndpointListEntry("s" + number, number % 2, number % 3, state, 1, startedAtUs);
    }

    private void endAttempt(DueOutcome due) {
        TrackedRequest request = requests.get(due.requestId);
        TrackedRequest.TrackedAttempt attempt = request.attempt(due.attemptNumber);
        attempt.end(due.result);
        if (due.result == AttemptResult.OK && !request.isFinished()) {
            request.finish();
            finishedCount++;
            servedCount++;
        }
        loadBalancer.onAttemptOutcome(
                nowUs,
                new AttemptOutcome(
                        due.requestId,
                        due.attemptNumber,
                        due.result,
                        nowUs - attempt.startedAtUs(),
                        request.isFinished(),
                        null));
    }

    @Override
    public void startAttempt(long requestId, String endpointId, long deadlineUs) {
        appendToTrace("start " + requestId + " at " + endpointId);
        TrackedRequest request = requests.get(requestId);
        EndpointListEntry endpoint = endpoints.get(endpointId);
        assertNotNull(request, "attempt of unknown request " + requestId);
        request.startAttempt(endpoint, settings, deadlineUs, nowUs);
        if (endpoint.startedAtUs() > 0 && nowUs < endpoint.startedAtUs() + settings.slowStartUs) {
            warmUpAttempts
                    .computeIfAbsent(endpoint, unused -> new ArrayList<>())
                    .add(new WarmUpAttempt(nowUs, readyEndpoints()));
        }
        dueOutcomes.add(drawOutcome(requestId, request.attemptCount() - 1, deadlineUs));
    }

    private long readyEndpoints() {
        return endpoints.values().stream()
                .filter(endpoint -> endpoint.state() == EndpointState.READY)
                .count();
    }

    private DueOutcome drawOutcome(long requestId, int attemptNumber, long deadlineUs) {
        boolean timesOut = random.nextInt(30) == 0;
        long atUs = timesOut ? deadlineUs : Math.min(deadlineUs, nowUs + 1_000 + random.nextInt(120_000));
        AttemptResult result = timesOut || atUs == deadlineUs ? AttemptResult.TIMEOUT : drawResult();
        return new DueOutcome(atUs, requestId, attemptNumber, result);
    }

    private AttemptResult drawResult() {
        return random.nextInt(8) > 0 ? AttemptResult.OK : FAILURES[random.nextInt(FAILURES.length)];
    }

    @Override
    public void reject(long requestId, long retryAfterUs) {
        finishWithoutSuccess(requestId, true);
    }

    @Override
    public void fail(long requestId) {
        finishWithoutSuccess(requestId, false);
    }

    private void finishWithoutSuccess(long requestId, boolean rejected) {
        appendToTrace((rejected ? "reject " : "fail ") + requestId);
        TrackedRequest request = requests.get(requestId);
        assertNotNull(request, "final response to unknown request " + requestId);
        request.finishWithoutSuccess(rejected, settings, nowUs);
        finishedCount++;
    }

    @Override
    public void cancelAttempt(long requestId, int attemptNumber) {
        assertTrue(settings.cancellationEnabled, "attempt cancelled although the settings do not allow it");
        if (requests.get(requestId).attempt(attemptNumber).isInFlight()) {
            dueOutcomes.removeIf(due -> due.requestId == requestId && due.attemptNumber == attemptNumber);
            dueOutcomes.add(new DueOutcome(nowUs, requestId, attemptNumber, AttemptResult.CANCELLED));
        }
    }

    @Override
    public void setTimer(long atUs) {
        assertTrue(atUs > nowUs, "timer set to " + atUs + ", which is not after the current time " + nowUs);
        timers.add(atUs);
    }

    @Override
    public void closeIdleConnections(String endpointId) {}

    @Override
    public void watchEndpointList() {
        assertTrue(settings.endpointListPolled, "endpoint list polled although the settings say that it is pushed");
    }

    @Override
    public void record(PolicyEvent event) {
        trace.append(event.describe()).append('\n');
    }

    private void appendToTrace(String action) {
        trace.append(nowUs).append(' ').append(action).append('\n');
    }
}

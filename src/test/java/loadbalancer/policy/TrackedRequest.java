package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

/** A request as the caller of the module knows it; checks the rules for its attempts and its final response. */
final class TrackedRequest {
    private final RequestClass requestClass;
    private final long deadlineAtUs;
    private final List<TrackedAttempt> attempts = new ArrayList<>();
    private boolean finished;

    /** An attempt as the caller of the module knows it. */
    static final class TrackedAttempt {
        private final EndpointListEntry endpoint;
        private final long startedAtUs;
        private AttemptResult result;

        private TrackedAttempt(EndpointListEntry endpoint, long startedAtUs) {
            this.endpoint = endpoint;
            this.startedAtUs = startedAtUs;
        }

        long startedAtUs() {
            return startedAtUs;
        }

        boolean isInFlight() {
            return result == null;
        }

        void end(AttemptResult newResult) {
            result = newResult;
        }

        private boolean mayHaveBeenExecuted() {
            return result == null || !result.knownNotExecuted;
        }
    }

    TrackedRequest(RequestClass requestClass, long deadlineAtUs) {
        this.requestClass = requestClass;
        this.deadlineAtUs = deadlineAtUs;
    }

    boolean isFinished() {
        return finished;
    }

    void finish() {
        finished = true;
    }

    int attemptCount() {
        return attempts.size();
    }

    TrackedAttempt attempt(int number) {
        return attempts.get(number);
    }

    /** Asserts that the request may have an attempt now at this endpoint with this deadline, and adds the attempt. */
    void startAttempt(EndpointListEntry endpoint, LoadBalancerSettings settings, long attemptDeadlineUs, long nowUs) {
        assertFalse(finished, "attempt started after the final response");
        assertTrue(
                attemptDeadlineUs <= deadlineAtUs,
                "attempt deadline " + attemptDeadlineUs + " is after the request deadline " + deadlineAtUs);
        assertTrue(nowUs < deadlineAtUs, "attempt started at " + nowUs + ", not before the deadline " + deadlineAtUs);
        assertTrue(attempts.size() < settings.maxAttempts, "more than " + settings.maxAttempts + " attempts started");
        TrackedAttempt executed = firstPossiblyExecuted();
        if (executed != null) {
            assertMayBeRetried(executed, endpoint, nowUs);
            assertTrue(
                    settings.hedgingEnabled || attempts.stream().noneMatch(TrackedAttempt::isInFlight),
                    "second attempt in flight although hedging is disabled");
        }
        assertTrue(endpoint.state() == EndpointState.READY, "attempt started at endpoint in state " + endpoint.state());
        attempts.add(new TrackedAttempt(endpoint, nowUs));
    }

    private TrackedAttempt firstPossiblyExecuted() {
        return attempts.stream()
                .filter(TrackedAttempt::mayHaveBeenExecuted)
                .findFirst()
                .orElse(null);
    }

    private void assertMayBeRetried(TrackedAttempt executed, EndpointListEntry endpoint, long nowUs) {
        assertTrue(
                requestClass.idempotency() != Idempotency.NON_IDEMPOTENT,
                "non-idempotent request retried although it may have been executed");
        if (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY) {
            assertTrue(
                    nowUs <= executed.startedAtUs + requestClass.deduplicationWindowUs(),
                    "request retried after its deduplication window");
            assertTrue(
                    isInDeduplicationScope(executed.endpoint, endpoint),
                    "request retried outside of its deduplication scope " + requestClass.deduplicationScope());
        }
    }

    private boolean isInDeduplicationScope(EndpointListEntry first, EndpointListEntry second) {
        return switch (requestClass.deduplicationScope()) {
            case ALL -> true;
            case ZONE -> first.zone() == second.zone();
            case CELL -> first.cell() == second.cell();
        };
    }

    /** Asserts that the request may have this final response now, and marks it as finished. */
    void finishWithoutSuccess(boolean rejected, LoadBalancerSettings settings, long nowUs) {
        assertFalse(finished, "second final response");
        assertTrue(
                nowUs <= deadlineAtUs + settings.eventIntervalUs,
                "final response at " + nowUs + ", too late for the deadline " + deadlineAtUs);
        if (rejected && firstPossiblyExecuted() != null) {
            assertTrue(
                    requestClass.idempotency() == Idempotency.IDEMPOTENT
                            || (requestClass.idempotency() == Idempotency.IDEMPOTENCY_KEY
                                    && requestClass.deduplicationScope() == DeduplicationScope.ALL),
                    "request rejected although the client may not safely retry");
        }
        finished = true;
    }
}

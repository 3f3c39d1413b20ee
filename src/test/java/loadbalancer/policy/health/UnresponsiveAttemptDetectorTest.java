package loadbalancer.policy.health;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.AttemptResult;
import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.Attempt;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/** Tests which attempts {@link UnresponsiveAttemptDetector} reports and when. */
class UnresponsiveAttemptDetectorTest {
    private static final long START_US = 1_000;

    /** Four times the mean latency of 10 ms, and two event intervals of 1 ms. */
    private static final long UNRESPONSIVE_AT_US = START_US + 42_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());
    private final UnresponsiveAttemptDetector detector = new UnresponsiveAttemptDetector(settings, latencies);
    private final Endpoint endpoint = PolicyTestObjects.endpoint(settings, "a");
    private final List<Attempt> reported = new ArrayList<>();

    private void recordLatencies(int classIndex, long latencyUs) {
        for (int i = 0; i < 32; i++) {
            latencies.record(classIndex, latencyUs);
        }
    }

    private PendingRequest watchedRequest(int classIndex, long startUs) {
        PendingRequest request = PolicyTestObjects.request(settings, classIndex, startUs);
        detector.watch(request, request.startAttempt(endpoint, startUs));
        return request;
    }

    private void detect(long nowUs) {
        detector.detect((request, attempt, atUs) -> reported.add(attempt), nowUs);
    }

    @Test
    void anAttemptIsUnresponsiveAfterFourMeanLatencies() {
        recordLatencies(0, 10_000);
        PendingRequest request = watchedRequest(0, START_US);
        detect(UNRESPONSIVE_AT_US - 1);
        assertEquals(List.of(), reported);
        detect(UNRESPONSIVE_AT_US);
        assertEquals(List.of(request.attempt(0)), reported);
    }

    /** Guards against attempts that are kept for as long as no endpoint responds. */
    @Test
    void attemptsThatHaveEndedAreForgottenAlthoughTheMeanLatencyIsUnknown() {
        for (int i = 0; i < 10_000; i++) {
            PendingRequest request = watchedRequest(0, START_US + i);
            request.endAttempt(request.attempt(0), AttemptResult.RESET);
        }
        assertTrue(detector.watchedCount() <= 1_024, "watched: " + detector.watchedCount());
    }

    @Test
    void eachAttemptIsReportedOnce() {
        recordLatencies(0, 10_000);
        watchedRequest(0, START_US);
        detect(UNRESPONSIVE_AT_US);
        detect(UNRESPONSIVE_AT_US + 1_000_000);
        assertEquals(1, reported.size());
    }

    @Test
    void noAttemptIsUnresponsiveWhileTheMeanLatencyIsUnknown() {
        watchedRequest(0, START_US);
        detect(START_US + 3_600_000_000L);
        assertEquals(List.of(), reported);
    }

    @Test
    void endedAttemptsAreNotReported() {
        recordLatencies(0, 10_000);
        PendingRequest ended = watchedRequest(0, START_US);
        ended.endAttempt(ended.attempt(0), AttemptResult.OK);
        PendingRequest inFlight = watchedRequest(0, START_US);
        detect(UNRESPONSIVE_AT_US);
        assertEquals(List.of(inFlight.attempt(0)), reported);
    }

    @Test
    void attemptsOfFinishedRequestsAreNotReported() {
        recordLatencies(0, 10_000);
        watchedRequest(0, START_US).finish();
        detect(UNRESPONSIVE_AT_US);
        assertEquals(List.of(), reported);
    }

    @Test
    void classesHaveTheirOwnLatencies() {
        recordLatencies(0, 10_000);
        recordLatencies(1, 100_000);
        watchedRequest(1, START_US);
        PendingRequest quick = watchedRequest(0, START_US);
        detect(UNRESPONSIVE_AT_US);
        assertEquals(List.of(quick.attempt(0)), reported);
    }

    @Test
    void theNextCheckIsDueWhenTheOldestAttemptBecomesUnresponsive() {
        recordLatencies(0, 10_000);
        assertEquals(Long.MAX_VALUE, detector.nextCheckUs(0));
        watchedRequest(0, START_US);
        watchedRequest(0, START_US + 500);
        assertEquals(UNRESPONSIVE_AT_US, detector.nextCheckUs(0));
        assertEquals(UNRESPONSIVE_AT_US + 7, detector.nextCheckUs(UNRESPONSIVE_AT_US + 7));
    }
}

package loadbalancer.policy.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.RecordingActions;

/** Tests for the rate limit of {@link DecisionLog}. */
class DecisionLogTest {
    @Test
    void eventsWithinASecondOfARecordedOneAreDropped() {
        RecordingActions actions = new RecordingActions();
        DecisionLog log = new DecisionLog(actions);
        PolicyEvent first = new EndpointEjected("a", 5, null);
        PolicyEvent dropped = new EndpointRestored("a", false);
        PolicyEvent second = new RequestsRejectedWithoutLease(7);
        log.record(first, 3_000_000);
        log.record(dropped, 3_999_999);
        log.record(second, 4_000_000);
        assertEquals(List.of(first, second), actions.events);
    }
}

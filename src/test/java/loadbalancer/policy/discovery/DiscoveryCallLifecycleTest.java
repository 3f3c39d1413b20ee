package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Tests which calls {@link DiscoveryCallScheduler} opens and closes, and when. */
@Timeout(240)
class DiscoveryCallLifecycleTest {
    private static DiscoveryCallId call(long number) {
        return new DiscoveryCallId(number);
    }

    private static DiscoveryCallScheduler startedScheduler(List<String> actions) {
        DiscoveryCallScheduler scheduler = SchedulerFixture.newRecordingScheduler(1, actions);
        scheduler.start(0);
        scheduler.onTimer(scheduler.nextTimerUs());
        return scheduler;
    }

    @Test
    void firstPendingCallWithAMessageBecomesTheWatch() {
        List<String> actions = new ArrayList<>();
        DiscoveryCallScheduler scheduler = startedScheduler(actions);
        scheduler.onTimer(scheduler.nextTimerUs());
        scheduler.onMessage(3_500_000, call(1));
        assertEquals(List.of("open 1", "open 2", "close 2"), actions);
    }

    @Test
    void unresponsiveWatchStaysOpenUntilAnotherCallHasAMessage() {
        List<String> actions = new ArrayList<>();
        DiscoveryCallScheduler scheduler = startedScheduler(actions);
        scheduler.onMessage(100_000, call(1));
        scheduler.onTimer(scheduler.nextTimerUs());
        scheduler.onMessage(2_700_000, call(1));
        scheduler.onTimer(scheduler.nextTimerUs());
        scheduler.onMessage(5_300_000, call(3));
        assertEquals(List.of("open 1", "open 2", "close 2", "open 3", "close 1"), actions);
    }

    @Test
    void watchAtPreviousAddressStaysOpenUntilTheNewAddressSendsAMessage() {
        List<String> actions = new ArrayList<>();
        DiscoveryCallScheduler scheduler = startedScheduler(actions);
        scheduler.onMessage(100_000, call(1));
        scheduler.onDiscoveryMoved(200_000, 200_000);
        scheduler.onTimer(scheduler.nextTimerUs());
        scheduler.onMessage(400_000, call(1));
        scheduler.onDiscoveryMoved(500_000, 500_000);
        scheduler.onTimer(scheduler.nextTimerUs());
        scheduler.onMessage(700_000, call(3));
        assertEquals(List.of("open 1", "open 2", "close 2", "open 3", "close 1"), actions);
    }

    @Test
    void noSecondCallIsOpenedWhileTheFirstOneMayBeQueued() {
        DiscoveryCallScheduler scheduler = startedScheduler(new ArrayList<>());
        assertTrue(
                scheduler.nextTimerUs() >= SchedulerFixture.MAX_QUEUE_TIME_US,
                "the next call is opened at " + scheduler.nextTimerUs() + " us");
    }

    @Test
    void retryDelayIsDoubledAfterRepeatedFailures() {
        DiscoveryCallScheduler scheduler = SchedulerFixture.newRecordingScheduler(100, new ArrayList<>());
        scheduler.start(0);
        long openedAtUs = 0;
        long delayUs = 0;
        for (int number = 1; number <= 10; number++) {
            openedAtUs = scheduler.nextTimerUs();
            scheduler.onTimer(openedAtUs);
            scheduler.onCallEnded(openedAtUs, call(number), DiscoveryCallOutcome.FAILED);
            delayUs = scheduler.nextTimerUs() - openedAtUs;
            assertTrue(
                    number > 5 || delayUs == SchedulerFixture.timing(100).maxRetryDelayUs(),
                    "the delay after call " + number + " is " + delayUs + " us");
        }
        assertEquals(4 * SchedulerFixture.timing(100).maxRetryDelayUs(), delayUs);
        scheduler.onTimer(scheduler.nextTimerUs());
        long nowUs = openedAtUs + delayUs;
        scheduler.onMessage(nowUs, call(11));
        scheduler.onListConfirmed(nowUs, call(11));
        scheduler.onCallEnded(nowUs, call(11), DiscoveryCallOutcome.FAILED);
        assertTrue(
                scheduler.nextTimerUs() - nowUs <= SchedulerFixture.timing(100).maxInitialDelayUs());
    }

    /** A refused connection does not show that discovery is overloaded. */
    @Test
    void retryDelayIsNotDoubledAfterRefusedConnections() {
        DiscoveryCallScheduler scheduler = SchedulerFixture.newRecordingScheduler(100, new ArrayList<>());
        scheduler.start(0);
        for (int number = 1; number <= 20; number++) {
            long openedAtUs = scheduler.nextTimerUs();
            scheduler.onTimer(openedAtUs);
            scheduler.onCallEnded(openedAtUs, call(number), DiscoveryCallOutcome.CONNECTION_REFUSED);
            assertEquals(
                    SchedulerFixture.timing(100).maxRetryDelayUs(),
                    scheduler.nextTimerUs() - openedAtUs,
                    "the delay after call " + number);
        }
    }

    /** No failure of a call proves that the endpoint list is current, whether the lease is valid or not. */
    @ParameterizedTest
    @EnumSource(DiscoveryCallOutcome.class)
    void callThatEndsWithoutAMessageDoesNotRenewTheLease(DiscoveryCallOutcome outcome) {
        EndpointListLease lease = new EndpointListLease(SchedulerFixture.terms());
        DiscoveryCallScheduler scheduler = SchedulerFixture.newScheduler(1, lease, new ArrayList<>());
        scheduler.start(0);
        scheduler.onTimer(scheduler.nextTimerUs());
        scheduler.onCallEnded(scheduler.nextTimerUs(), call(1), outcome);
        assertEquals(EndpointListLease.NOT_GRANTED, lease.expiresAtUs());
        long grantedAtUs = scheduler.nextTimerUs();
        scheduler.onTimer(grantedAtUs);
        scheduler.onMessage(grantedAtUs, call(2));
        scheduler.onListConfirmed(grantedAtUs, call(2));
        long expiresAtUs = grantedAtUs + SchedulerFixture.terms().afterConfirmationUs();
        for (long number = 3; number < 10; number++) {
            long nowUs = scheduler.nextTimerUs();
            scheduler.onTimer(nowUs);
            scheduler.onCallEnded(nowUs, call(number), outcome);
            assertEquals(expiresAtUs, lease.expiresAtUs(), "call " + number);
        }
    }

    /** The call after a watch that has ended or is unresponsive is opened early enough to renew the lease. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void callAfterAWatchIsOpenedBeforeTheLeaseExpires(boolean watchEnds) {
        DiscoveryCallScheduler scheduler = SchedulerFixture.newRecordingScheduler(1_024, new ArrayList<>());
        scheduler.start(0);
        long nowUs = scheduler.nextTimerUs();
        scheduler.onTimer(nowUs);
        scheduler.onMessage(nowUs, call(1));
        scheduler.onListConfirmed(nowUs, call(1));
        if (watchEnds) {
            scheduler.onCallEnded(nowUs + 2_000_000, call(1), DiscoveryCallOutcome.FAILED);
        }
        assertTrue(scheduler.nextTimerUs() <= nowUs + SchedulerFixture.terms().afterConfirmationUs() - 1_000_000);
    }
}

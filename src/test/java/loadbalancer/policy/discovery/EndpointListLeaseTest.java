package loadbalancer.policy.discovery;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import loadbalancer.policy.LoadBalancerSettings;

/** Tests which events renew, shorten or limit an {@link EndpointListLease}, and when it expires. */
class EndpointListLeaseTest {
    private static final long SECOND_US = 1_000_000;
    /** The drain grace of 0.5 s, less the margin of 0.2 s for a pause of the process. */
    private static final long GRACE_US = 300_000;

    private static LoadBalancerSettings settings(boolean isPolled) {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.endpointListPolled = isPolled;
        settings.drainGraceUs = 500_000;
        return settings;
    }

    private static EndpointListLease lease(boolean isPolled) {
        return new EndpointListLease(EndpointListLeaseTerms.of(settings(isPolled)));
    }

    @Test
    void newLeaseIsInvalidAndIsNotGrantedByAnythingButAConfirmation() {
        EndpointListLease lease = lease(true);
        assertFalse(lease.isValid(0));
        lease.onWatchEnded(0);
        lease.onWatchReset(0);
        lease.onPartialList(0);
        lease.onDiscoveryMoved(0);
        assertFalse(lease.isValid(0));
    }

    @Test
    void leaseExpiresSixSecondsAndTheGraceAfterAConfirmation() {
        EndpointListLease lease = lease(true);
        lease.onListConfirmed(SECOND_US);
        assertEquals(7 * SECOND_US + GRACE_US, lease.expiresAtUs());
        assertTrue(lease.isValid(lease.expiresAtUs() - 1));
        assertFalse(lease.isValid(lease.expiresAtUs()));
    }

    @ParameterizedTest
    @CsvSource({"3000000, 3300000", "10000000, 6300000"})
    void leaseIsLimitedByAShorterPollInterval(long pollIntervalUs, long afterConfirmationUs) {
        LoadBalancerSettings settings = settings(true);
        settings.pollIntervalUs = pollIntervalUs;
        assertEquals(afterConfirmationUs, EndpointListLeaseTerms.of(settings).afterConfirmationUs());
    }

    @Test
    void leaseIsShorterThanTheNotificationDelayIfTheGraceIsShorterThanAPause() {
        LoadBalancerSettings settings = settings(true);
        settings.drainGraceUs = 0;
        assertEquals(5_800_000, EndpointListLeaseTerms.of(settings).afterConfirmationUs());
    }

    @Test
    void leaseExpiresFourSecondsAndTheGraceAfterAMove() {
        EndpointListLease lease = lease(true);
        lease.onListConfirmed(0);
        lease.onDiscoveryMoved(SECOND_US);
        assertEquals(5 * SECOND_US + GRACE_US, lease.expiresAtUs());
        lease.onListConfirmed(2 * SECOND_US);
        assertEquals(8 * SECOND_US + GRACE_US, lease.expiresAtUs());
    }

    @Test
    void moveDoesNotProlongTheLease() {
        EndpointListLease lease = lease(true);
        lease.onListConfirmed(0);
        lease.onDiscoveryMoved(5 * SECOND_US);
        assertEquals(6 * SECOND_US + GRACE_US, lease.expiresAtUs());
    }

    @Test
    void leaseExpiresTwoSecondsAndTheGraceAfterTheEndOfAWatchAndIsNotShortenedByAReset() {
        EndpointListLease lease = lease(true);
        lease.onListConfirmed(0);
        lease.onWatchReset(SECOND_US);
        assertEquals(6 * SECOND_US + GRACE_US, lease.expiresAtUs());
        lease.onWatchEnded(SECOND_US);
        assertEquals(3 * SECOND_US + GRACE_US, lease.expiresAtUs());
    }

    @Test
    void endOfAWatchDoesNotProlongTheLease() {
        EndpointListLease lease = lease(true);
        lease.onListConfirmed(0);
        lease.onWatchEnded(5 * SECOND_US);
        assertEquals(6 * SECOND_US + GRACE_US, lease.expiresAtUs());
    }

    @Test
    void partialListLimitsTheLeaseToTheGraceUntilAListIsComplete() {
        EndpointListLease lease = lease(true);
        lease.onListConfirmed(0);
        lease.onPartialList(SECOND_US);
        assertEquals(SECOND_US + GRACE_US, lease.expiresAtUs());
        lease.onListConfirmed(2 * SECOND_US);
        assertEquals(8 * SECOND_US + GRACE_US, lease.expiresAtUs());
    }

    @Test
    void leaseOfAPushedListExpiresWithinTheGraceAfterTheEndOfTheWatch() {
        EndpointListLease lease = lease(false);
        lease.onListConfirmed(0);
        lease.onWatchEnded(SECOND_US);
        assertEquals(SECOND_US + GRACE_US, lease.expiresAtUs());
        lease.onListConfirmed(SECOND_US + 300_000);
        assertEquals(7 * SECOND_US + 300_000 + GRACE_US, lease.expiresAtUs());
    }
}

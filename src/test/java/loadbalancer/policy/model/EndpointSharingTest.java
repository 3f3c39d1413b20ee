package loadbalancer.policy.model;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Tests for the threshold of {@link EndpointSharing} above which endpoints count as widely shared. */
class EndpointSharingTest {
    @Test
    void endpointsAreWidelySharedAboveTwentyInstancesPerEndpoint() {
        EndpointSharing sharing = new EndpointSharing(20);
        assertFalse(sharing.isWidelyShared());
        sharing.setInstancesPerEndpoint(20.5);
        assertTrue(sharing.isWidelyShared());
    }
}

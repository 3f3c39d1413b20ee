package loadbalancer.policy.log;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

/** Tests for the descriptions of policy events, which operators read. */
class PolicyEventTest {
    @Test
    void anEjectionNamesTheClassIfItIsForOneClass() {
        assertEquals("ejected endpoint a after 5 failures", new EndpointEjected("a", 5, null).describe());
        assertEquals(
                "ejected endpoint a after 5 failures of class page", new EndpointEjected("a", 5, "page").describe());
    }

    @Test
    void aRestorationSaysWhetherItIsForOneClass() {
        assertEquals("restored endpoint a", new EndpointRestored("a", false).describe());
        assertEquals("restored endpoint a for a class", new EndpointRestored("a", true).describe());
    }

    @Test
    void rejectionsWithoutLeaseGiveTheNumberOfRequests() {
        assertEquals(
                "rejected 7 requests without a lease on the endpoint list",
                new RequestsRejectedWithoutLease(7).describe());
    }
}

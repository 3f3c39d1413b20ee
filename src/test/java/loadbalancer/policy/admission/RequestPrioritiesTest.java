package loadbalancer.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.Tenant;
import loadbalancer.policy.model.PendingRequest;
import loadbalancer.policy.statistics.LatencyStatistics;

/** Tests how {@link RequestPriorities} derives priorities from class, work and quota. */
class RequestPrioritiesTest {
    private static final long NOW_US = 5_000_000;

    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final LatencyStatistics latencies = new LatencyStatistics(settings.classes.size());

    private PendingRequest assigned(RequestPriorities priorities, int classIndex) {
        PendingRequest request = PolicyTestObjects.request(settings, classIndex, NOW_US);
        priorities.assign(request, NOW_US);
        return request;
    }

    @Test
    void thePriorityIsTheWeightDividedByTheMeanLatency() {
        latencies.record(0, 10_000);
        assertEquals(
                1.0 / 10_000,
                assigned(new RequestPriorities(settings, latencies), 0).priority());
    }

    @Test
    void weightsPerUnitOfWorkAreThePriority() {
        latencies.record(0, 10_000);
        settings.isPriorityWeightPerWork = true;
        assertEquals(1, assigned(new RequestPriorities(settings, latencies), 0).priority());
    }

    @Test
    void requestsOverTheirTenantsQuotaHaveLowerPriority() {
        settings.tenants.set(0, new Tenant("tenant", 1));
        settings.overQuotaPriorityFactor = 0.25;
        settings.isPriorityWeightPerWork = true;
        RequestPriorities priorities = new RequestPriorities(settings, latencies);
        PendingRequest within = assigned(priorities, 0);
        PendingRequest over = assigned(priorities, 0);
        assertEquals(1, within.priority());
        assertFalse(within.isOverQuota());
        assertEquals(0.25, over.priority());
        assertTrue(over.isOverQuota());
    }

    @Test
    void theQuotaAffectsOnlyThePriorityIfEndpointsCacheKeys() {
        settings.tenants.set(0, new Tenant("tenant", 1));
        settings.overQuotaPriorityFactor = 0.25;
        settings.isPriorityWeightPerWork = true;
        settings.endpointsCacheKeys = true;
        RequestPriorities priorities = new RequestPriorities(settings, latencies);
        assigned(priorities, 0);
        PendingRequest over = assigned(priorities, 0);
        assertEquals(0.25, over.priority());
        assertFalse(over.isOverQuota());
    }

    @Test
    void theRelativePriorityRefersToTheHighestOfAllClasses() {
        latencies.record(0, 10_000);
        latencies.record(1, 40_000);
        RequestPriorities priorities = new RequestPriorities(settings, latencies);
        assertEquals(0.25, priorities.relativePriority(assigned(priorities, 1)));
        assertEquals(1, priorities.relativePriority(assigned(priorities, 0)));
    }

    @Test
    void classesWithoutResultsDoNotOutrankOthers() {
        latencies.record(1, 40_000);
        RequestPriorities priorities = new RequestPriorities(settings, latencies);
        assertEquals(1, priorities.relativePriority(assigned(priorities, 1)));
    }
}

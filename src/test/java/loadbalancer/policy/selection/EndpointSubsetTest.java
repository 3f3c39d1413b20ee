package loadbalancer.policy.selection;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Arrays;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.policy.PolicyTestObjects;
import loadbalancer.policy.model.Endpoint;
import loadbalancer.policy.model.EndpointSharing;

/** Tests the size, order and zones of the subsets that {@link EndpointSubset} selects. */
class EndpointSubsetTest {
    private final LoadBalancerSettings settings = PolicyTestObjects.settings();
    private final EndpointSharing sharing = new EndpointSharing(1);

    private Endpoint[] subset(int instances, int instanceIndex, Endpoint[] ready) {
        settings.instances = instances;
        settings.instanceIndex = instanceIndex;
        return new EndpointSubset(settings, sharing).selectFrom(ready);
    }

    private Endpoint[] endpointsInTwoZones(int count) {
        Endpoint[] endpoints = new Endpoint[count];
        for (int i = 0; i < count; i++) {
            endpoints[i] = PolicyTestObjects.endpoint(settings, "e" + i, i % 2, 0);
        }
        return endpoints;
    }

    @Test
    void upToTwentyFourInstancesUseAllEndpoints() {
        Endpoint[] ready = PolicyTestObjects.activeEndpoints(settings, 40);
        assertArrayEquals(ready, subset(24, 3, ready));
        assertEquals(24, sharing.instancesPerEndpoint());
    }

    @Test
    void inALargeFleetTwentyFourInstancesShareAnEndpoint() {
        Endpoint[] ready = PolicyTestObjects.activeEndpoints(settings, 40);
        assertEquals(4, subset(240, 3, ready).length);
        assertEquals(24, sharing.instancesPerEndpoint());
    }

    @Test
    void aSubsetIsInListOrder() {
        Endpoint[] ready = PolicyTestObjects.activeEndpoints(settings, 40);
        Endpoint[] subset = subset(240, 3, ready);
        Endpoint[] inListOrder =
                Arrays.stream(ready).filter(Arrays.asList(subset)::contains).toArray(Endpoint[]::new);
        assertArrayEquals(inListOrder, subset);
    }

    @Test
    void theSameListGivesTheSameSubset() {
        Endpoint[] ready = PolicyTestObjects.activeEndpoints(settings, 40);
        assertArrayEquals(subset(240, 3, ready), subset(240, 3, ready));
    }

    @Test
    void aSubsetHasFourEndpointsUnlessTooManyInstancesWouldShareThem() {
        Endpoint[] ready = PolicyTestObjects.activeEndpoints(settings, 40);
        // With 24 instances per endpoint a subset would have two endpoints. The minimum of four applies only if no
        // more than 48 instances share an endpoint then.
        assertEquals(4, subset(480, 3, ready).length);
        assertEquals(2, subset(480, 3, Arrays.copyOf(ready, 8)).length);
        assertEquals(1, subset(480, 3, Arrays.copyOf(ready, 1)).length);
    }

    @Test
    void theSubsetIsEmptyWithoutEndpoints() {
        assertEquals(0, subset(240, 3, new Endpoint[0]).length);
        assertEquals(1, sharing.instancesPerEndpoint());
    }

    @Test
    void mostOfTheSubsetIsLocalIfCrossingZonesHasACost() {
        settings.crossZoneCost = 0.1;
        Endpoint[] subset = subset(240, 3, endpointsInTwoZones(80));
        long local =
                Arrays.stream(subset).filter(endpoint -> endpoint.zone() == 0).count();
        assertEquals(8, local);
        assertEquals(4, subset.length - local);
    }

    @Test
    void aRemovedEndpointIsReplacedInTheSubset() {
        Endpoint[] ready = PolicyTestObjects.activeEndpoints(settings, 40);
        settings.instances = 240;
        settings.instanceIndex = 3;
        EndpointSubset subset = new EndpointSubset(settings, sharing);
        Endpoint[] before = subset.selectFrom(ready);
        Endpoint[] remaining =
                Arrays.stream(ready).filter(endpoint -> endpoint != before[0]).toArray(Endpoint[]::new);
        Endpoint[] after = subset.selectFrom(remaining);
        assertEquals(4, after.length);
        assertTrue(Arrays.stream(after).noneMatch(before[0]::equals));
    }
}

package loadbalancer.policy.model;

/**
 * The number of instances that share an endpoint: the whole fleet, or in a large fleet the instances whose subsets
 * contain the endpoint. When many instances share an endpoint, the requests that one of them has in flight there tell
 * little about the endpoint's load.
 */
public final class EndpointSharing {
    /** Number of instances per endpoint above which an endpoint counts as widely shared. */
    private static final double WIDELY_SHARED_ABOVE_INSTANCES = 20;

    private double instancesPerEndpoint;

    /** Creates the initial state, in which every instance of the fleet uses all endpoints. */
    public EndpointSharing(int fleetInstances) {
        instancesPerEndpoint = fleetInstances;
    }

    public void setInstancesPerEndpoint(double newInstances) {
        instancesPerEndpoint = newInstances;
    }

    /** Returns the mean number of instances that share an endpoint. */
    public double instancesPerEndpoint() {
        return instancesPerEndpoint;
    }

    /** Returns whether so many instances share an endpoint that each of them sees little of its load. */
    public boolean isWidelyShared() {
        return instancesPerEndpoint > WIDELY_SHARED_ABOVE_INSTANCES;
    }
}

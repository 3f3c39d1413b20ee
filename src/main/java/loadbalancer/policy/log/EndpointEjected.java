package loadbalancer.policy.log;

/**
 * Logged when an endpoint is ejected.
 *
 * @param endpointId the id in the endpoint list
 * @param failures the number of failures among the endpoint's recent results
 * @param className the request class for which the endpoint is ejected, or null for all classes
 */
public record EndpointEjected(String endpointId, int failures, String className) implements PolicyEvent {
    @Override
    public String describe() {
        return "ejected endpoint " + endpointId + " after " + failures + " failures"
                + (className == null ? "" : " of class " + className);
    }
}

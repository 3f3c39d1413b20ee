package loadbalancer.policy.log;

/**
 * Logged when an ejected endpoint is restored.
 *
 * @param endpointId the id in the endpoint list
 * @param forOneClass whether the ejection was for one request class only
 */
public record EndpointRestored(String endpointId, boolean forOneClass) implements PolicyEvent {
    @Override
    public String describe() {
        return "restored endpoint " + endpointId + (forOneClass ? " for a class" : "");
    }
}

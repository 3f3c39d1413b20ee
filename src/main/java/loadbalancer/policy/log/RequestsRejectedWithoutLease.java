package loadbalancer.policy.log;

/**
 * Logged when the lease on the endpoint list is regained after requests were rejected for lack of it.
 *
 * @param requests the number of rejected requests
 */
public record RequestsRejectedWithoutLease(long requests) implements PolicyEvent {
    @Override
    public String describe() {
        return "rejected " + requests + " requests without a lease on the endpoint list";
    }
}

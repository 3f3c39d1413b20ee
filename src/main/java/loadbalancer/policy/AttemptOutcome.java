package loadbalancer.policy;

/**
 * How one attempt ended.
 *
 * @param requestId the id of the request
 * @param attemptNumber the number of the attempt among those of its request, from 0
 * @param result the result of the attempt
 * @param latencyUs time from the start of the attempt to its end
 * @param requestEnded whether the request has its final response, through this attempt or through an earlier event
 * @param loadReport the endpoint's load report, its values in the order of
 *     {@link LoadBalancerSettings#loadReportFields}, or null if there is none
 */
public record AttemptOutcome(
        long requestId,
        int attemptNumber,
        AttemptResult result,
        long latencyUs,
        boolean requestEnded,
        double[] loadReport) {}

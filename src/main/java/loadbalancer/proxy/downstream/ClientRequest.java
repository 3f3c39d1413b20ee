package loadbalancer.proxy.downstream;

import io.netty.handler.codec.http.HttpMethod;

/**
 * A client's request that complies with the protocol. The method, target, transaction id, idempotency key and body are
 * forwarded unchanged.
 *
 * @param method the HTTP method
 * @param uri the request target: the path and the query
 * @param transactionId the id that the client has given to the request
 * @param idempotencyKey the idempotency key, or null if the request has none
 * @param body the body, which may be empty
 * @param classIndex the index of the request class in the settings
 * @param tenantIndex the index of the tenant in the settings, or -1 if the tenant is missing or unknown
 * @param remainingUs the time from the arrival of the request until its response must be ready, in microseconds
 * @param estimatedWorkUs the client's estimate of the work in microseconds, or 0 if the client gave none
 * @param isRetry whether the client has marked the request as a retry
 * @param affinityKey the key for key affinity: the last segment of the path, or null if that is empty
 */
public record ClientRequest(
        HttpMethod method,
        String uri,
        String transactionId,
        String idempotencyKey,
        byte[] body,
        int classIndex,
        int tenantIndex,
        long remainingUs,
        long estimatedWorkUs,
        boolean isRetry,
        String affinityKey) {
    /** Returns the request with this body. */
    ClientRequest withBody(byte[] newBody) {
        return new ClientRequest(
                method,
                uri,
                transactionId,
                idempotencyKey,
                newBody,
                classIndex,
                tenantIndex,
                remainingUs,
                estimatedWorkUs,
                isRetry,
                affinityKey);
    }

    /** Returns the memory that the texts and the body take up, which the client determines. */
    int heldBytes() {
        return uri.length() + transactionId.length() + length(idempotencyKey) + length(affinityKey) + body.length;
    }

    private static int length(String text) {
        return text == null ? 0 : text.length();
    }
}

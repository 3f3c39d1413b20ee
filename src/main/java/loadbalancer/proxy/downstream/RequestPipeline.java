package loadbalancer.proxy.downstream;

import java.util.ArrayDeque;

import loadbalancer.proxy.resources.ConnectionLimits;

/** The queue of received requests of one connection that are not being served yet, the oldest first. */
final class RequestPipeline {
    private final ArrayDeque<ReceivedRequest> requests = new ArrayDeque<>();
    private long heldBytes;

    void add(ReceivedRequest request) {
        requests.add(request);
        heldBytes += request.heldBytes();
    }

    /** Removes and returns the oldest request, or returns null if the queue is empty. */
    ReceivedRequest poll() {
        ReceivedRequest request = requests.poll();
        if (request != null) {
            heldBytes -= request.heldBytes();
        }
        return request;
    }

    void clear() {
        requests.clear();
        heldBytes = 0;
    }

    /** Replaces the requests by rejections, in the same order, to release their memory. */
    void rejectAllForLackOfMemory() {
        for (int remaining = requests.size(); remaining > 0; remaining--) {
            add(poll().rejectedForLackOfMemory());
        }
    }

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns an estimate of the memory that the requests take up. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns whether any of the requests has texts or a body that a rejection would release. */
    boolean hasRequestsToForward() {
        return heldBytes > (long) requests.size() * ReceivedRequest.OVERHEAD_BYTES;
    }

    /** Returns whether the limit on the number of requests or on their memory is exceeded. */
    boolean isOverLimit() {
        return requests.size() > ConnectionLimits.MAX_PIPELINED_REQUESTS
                || heldBytes > ConnectionLimits.MAX_PIPELINED_BYTES;
    }
}

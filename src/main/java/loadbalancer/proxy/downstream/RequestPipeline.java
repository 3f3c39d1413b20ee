package loadbalancer.proxy.downstream;

import java.util.ArrayDeque;

import loadbalancer.proxy.resources.ConnectionLimits;

/** The queue of received requests of one connection that are not being served yet, the oldest first. */
final class RequestPipeline {
    private final ArrayDeque<ReceivedRequest> requests = new ArrayDeque<>();
    private int bodyBytes;

    void add(ReceivedRequest request) {
        requests.add(request);
        bodyBytes += request.body().length;
    }

    /** Removes and returns the oldest request, or returns null if the queue is empty. */
    ReceivedRequest poll() {
        ReceivedRequest request = requests.poll();
        if (request != null) {
            bodyBytes -= request.body().length;
        }
        return request;
    }

    void clear() {
        requests.clear();
        bodyBytes = 0;
    }

    int size() {
        return requests.size();
    }

    boolean isEmpty() {
        return requests.isEmpty();
    }

    /** Returns whether the limit on the number of requests or on the total size of their bodies is exceeded. */
    boolean isOverLimit() {
        return requests.size() > ConnectionLimits.MAX_PIPELINED_REQUESTS
                || bodyBytes > ConnectionLimits.MAX_REQUEST_BODY_BYTES;
    }
}

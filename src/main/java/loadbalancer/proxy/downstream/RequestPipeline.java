package loadbalancer.proxy.downstream;

import java.util.ArrayDeque;

import loadbalancer.proxy.resources.ConnectionLimits;

/**
 * The queue of received requests of one connection that are not being served yet, the oldest first. Any number of
 * consecutive requests that are rejected alike take up the memory of one.
 */
final class RequestPipeline {
    /** A request, and how many requests in succession get its response. */
    private static final class Entry {
        private final ReceivedRequest request;
        private int count;

        private Entry(ReceivedRequest request, int count) {
            this.request = request;
            this.count = count;
        }
    }

    private final ArrayDeque<Entry> entries = new ArrayDeque<>();
    private long heldBytes;

    void add(ReceivedRequest request) {
        add(request, 1);
    }

    private void add(ReceivedRequest request, int count) {
        Entry last = entries.peekLast();
        if (last != null && request.isRejectedLike(last.request)) {
            last.count += count;
            return;
        }
        entries.add(new Entry(request, count));
        heldBytes += request.heldBytes();
    }

    /** Removes and returns the oldest request, or returns null if the queue is empty. */
    ReceivedRequest poll() {
        Entry oldest = entries.peek();
        if (oldest == null) {
            return null;
        }
        oldest.count--;
        if (oldest.count == 0) {
            entries.remove();
            heldBytes -= oldest.request.heldBytes();
        }
        return oldest.request;
    }

    void clear() {
        entries.clear();
        heldBytes = 0;
    }

    /** Replaces the requests by rejections, in the same order, to release their memory. */
    void rejectAllForLackOfMemory() {
        ArrayDeque<Entry> replaced = new ArrayDeque<>(entries);
        clear();
        for (Entry entry : replaced) {
            add(entry.request.rejectedForLackOfMemory(), entry.count);
        }
    }

    boolean isEmpty() {
        return entries.isEmpty();
    }

    /** Returns an estimate of the memory that the requests take up. */
    long heldBytes() {
        return heldBytes;
    }

    /** Returns whether any of the requests has texts or a body that a rejection would release. */
    boolean hasRequestsToForward() {
        return heldBytes > (long) entries.size() * ReceivedRequest.OVERHEAD_BYTES;
    }

    /** Returns whether the limit on the number of requests or on their memory is exceeded. */
    boolean isOverLimit() {
        return entries.size() > ConnectionLimits.MAX_PIPELINED_REQUESTS
                || heldBytes > ConnectionLimits.MAX_PIPELINED_BYTES;
    }
}

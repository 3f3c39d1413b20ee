package loadbalancer.proxy.resources;

/**
 * How much of the heap the connections of a node may hold together. The rest is for the process itself and for garbage.
 *
 * @param requestBytes the limit for requests of clients, complete or in part
 * @param responseBytes the limit for responses that are received or not yet written to their clients
 */
public record MemoryLimits(long requestBytes, long responseBytes) {
    private static final double REQUEST_HEAP_FRACTION = 3.0 / 8;
    private static final double RESPONSE_HEAP_FRACTION = 1.0 / 4;

    /** The fraction of the process's memory limit for the heap; code, classes, stacks and buffers need the rest. */
    private static final double HEAP_FRACTION = 1.0 / 3;

    /**
     * Returns the limits of a process.
     *
     * @param processBytes the memory limit of the process
     * @param maxHeapBytes the maximum size of its heap
     */
    public static MemoryLimits of(long processBytes, long maxHeapBytes) {
        double heapBytes = Math.min((double) maxHeapBytes, HEAP_FRACTION * processBytes);
        return new MemoryLimits(
                (long) (REQUEST_HEAP_FRACTION * heapBytes), (long) (RESPONSE_HEAP_FRACTION * heapBytes));
    }
}

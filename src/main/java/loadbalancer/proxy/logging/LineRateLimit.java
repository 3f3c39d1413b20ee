package loadbalancer.proxy.logging;

/** Limits the number of log lines in each second. */
final class LineRateLimit {
    private static final int MAX_LINES_PER_SECOND = 20;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private long countedSecond;
    private int linesInSecond;

    /** Counts a line and returns whether it may be written. */
    boolean tryAcquire() {
        long currentSecond = System.nanoTime() / NANOS_PER_SECOND;
        if (currentSecond != countedSecond) {
            countedSecond = currentSecond;
            linesInSecond = 0;
        }
        return ++linesInSecond <= MAX_LINES_PER_SECOND;
    }
}

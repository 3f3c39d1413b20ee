package loadbalancer.proxy.resources;

import java.time.Instant;
import java.time.temporal.ChronoUnit;

/**
 * A clock that reads the wall clock once, when it is created, and adds the time that the monotonic clock has measured
 * since. A step of the wall clock therefore does not move the deadlines of requests in flight.
 */
public final class SystemClock implements Clock {
    private static final int NANOS_PER_MICROSECOND = 1_000;

    private final long originUs = ChronoUnit.MICROS.between(Instant.EPOCH, Instant.now());
    private final long originNanos = System.nanoTime();

    @Override
    public long nowUs() {
        return originUs + (System.nanoTime() - originNanos) / NANOS_PER_MICROSECOND;
    }
}

package loadbalancer.testsupport;

import java.util.concurrent.atomic.AtomicLong;

import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.SystemClock;

/** The system clock with an offset that a test can advance. */
public final class SteppedClock implements Clock {
    private final Clock systemClock = new SystemClock();
    private final AtomicLong offsetUs = new AtomicLong();

    public void advance(long durationUs) {
        offsetUs.addAndGet(durationUs);
    }

    @Override
    public long nowUs() {
        return systemClock.nowUs() + offsetUs.get();
    }
}

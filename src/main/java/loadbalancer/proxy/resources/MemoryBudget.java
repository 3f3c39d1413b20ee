package loadbalancer.proxy.resources;

import java.util.function.BooleanSupplier;

/**
 * Limits how many bytes all connections together hold in memory. The budget never refuses a reservation; when it is
 * exceeded, its reclaimer releases reservations until it is met again. Used on one thread only.
 */
public final class MemoryBudget {
    private final long maxBytes;
    private BooleanSupplier reclaimer = () -> false;
    private boolean isReclaiming;
    private long usedBytes;

    /** Creates a budget without reservations. */
    public MemoryBudget(long maxBytes) {
        this.maxBytes = maxBytes;
    }

    /** Sets what is called while the budget is exceeded. It returns false if it cannot release a reservation. */
    public void setReclaimer(BooleanSupplier newReclaimer) {
        reclaimer = newReclaimer;
    }

    /** Returns a new reservation of zero bytes. */
    public Reservation newReservation() {
        return new Reservation();
    }

    /** Returns the sum of all reservations. */
    public long usedBytes() {
        return usedBytes;
    }

    private boolean meetsLimit() {
        return usedBytes <= maxBytes;
    }

    private void reclaim() {
        if (isReclaiming) {
            return;
        }
        isReclaiming = true;
        try {
            boolean hasReleased = true;
            while (hasReleased && !meetsLimit()) {
                hasReleased = reclaimer.getAsBoolean();
            }
        } finally {
            isReclaiming = false;
        }
    }

    /** The bytes that one holder has reserved. */
    public final class Reservation {
        private long bytes;

        private Reservation() {}

        /** Returns the number of reserved bytes. */
        public long bytes() {
            return bytes;
        }

        /**
         * Sets the number of reserved bytes, which may have the reclaimer release any reservation, this one included.
         *
         * @return whether the budget is met
         */
        public boolean resize(long newBytes) {
            usedBytes += newBytes - bytes;
            bytes = newBytes;
            reclaim();
            return meetsLimit();
        }

        /** Reserves no bytes any more. */
        public void release() {
            resize(0);
        }
    }
}

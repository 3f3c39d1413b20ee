package loadbalancer.proxy.resources;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.channel.AdaptiveRecvByteBufAllocator;

/**
 * Allocates the buffers into which sockets are read, on the heap. Netty would allocate direct buffers. The bytes of
 * incomplete messages stay in these buffers, and would exhaust the small direct memory of the process.
 */
@SuppressWarnings("deprecation") // Netty declares no other type of handle.
public final class HeapReadAllocator extends AdaptiveRecvByteBufAllocator {
    private static final int MIN_READ_BYTES = 64;
    private static final int INITIAL_READ_BYTES = 2 << 10;

    /** Creates an allocator that adapts the size of buffers to what has been read. */
    public HeapReadAllocator() {
        super(MIN_READ_BYTES, INITIAL_READ_BYTES, ConnectionLimits.MAX_READ_BYTES);
    }

    @Override
    public Handle newHandle() {
        return new HeapHandle(super.newHandle());
    }

    private static final class HeapHandle extends DelegatingHandle {
        HeapHandle(Handle delegate) {
            super(delegate);
        }

        @Override
        public ByteBuf allocate(ByteBufAllocator allocator) {
            return allocator.heapBuffer(guess());
        }
    }
}

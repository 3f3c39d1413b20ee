package loadbalancer.proxy.resources;

import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.UnpooledByteBufAllocator;

/** The buffer allocator that all connections use. */
public final class HeapBuffers {
    /** Allocates unpooled heap buffers of the requested size, because the heap is small. */
    public static final ByteBufAllocator ALLOCATOR = new UnpooledByteBufAllocator(false, true);

    private HeapBuffers() {}
}

package loadbalancer.proxy.upstream;

import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.ChannelOutboundBuffer;

/** A connection to a server that takes the first bytes of a request and then no more, as with a full buffer. */
public final class StallingChannel extends UpstreamChannel {
    private static final int BYTES_TAKEN = 20;

    private final CountDownLatch whenStalled;
    private volatile boolean resumed;
    private boolean stalled;

    /** The latch is counted down with a request that is written in part. */
    public StallingChannel(CountDownLatch whenStalled) {
        this.whenStalled = whenStalled;
    }

    /** Goes on with what was left. */
    public void resume() {
        resumed = true;
        eventLoop().execute(() -> {
            if (isOpen()) {
                unsafe().flush();
            }
        });
    }

    @Override
    protected void writeToSocket(ChannelOutboundBuffer pending) throws Exception {
        if (!stalled) {
            stalled = true;
            ByteBuffer part = pending.nioBuffers(1, BYTES_TAKEN)[0].duplicate();
            part.limit(part.position() + Math.min(BYTES_TAKEN, part.remaining()));
            pending.removeBytes(javaChannel().write(part));
            whenStalled.countDown();
        } else if (resumed) {
            super.writeToSocket(pending);
        }
    }
}

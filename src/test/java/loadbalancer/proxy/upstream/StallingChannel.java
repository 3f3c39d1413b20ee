package loadbalancer.proxy.upstream;

import java.nio.ByteBuffer;
import java.util.concurrent.CountDownLatch;

import io.netty.channel.ChannelOutboundBuffer;

/** An upstream channel that writes only the first bytes of a request until it is resumed, as with a full send buffer. */
public final class StallingChannel extends UpstreamChannel {
    private static final int MAX_FIRST_WRITE_BYTES = 20;

    private final CountDownLatch stalledLatch;
    private volatile boolean resumed;
    private boolean stalled;

    /**
     * Creates a channel.
     *
     * @param stalledLatch counted down when the first bytes of a request are written
     */
    public StallingChannel(CountDownLatch stalledLatch) {
        this.stalledLatch = stalledLatch;
    }

    /** Writes the remaining bytes of the request. Can be called on any thread. */
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
            ByteBuffer firstBytes = pending.nioBuffers(1, MAX_FIRST_WRITE_BYTES)[0].duplicate();
            firstBytes.limit(firstBytes.position() + Math.min(MAX_FIRST_WRITE_BYTES, firstBytes.remaining()));
            pending.removeBytes(javaChannel().write(firstBytes));
            stalledLatch.countDown();
        } else if (resumed) {
            super.writeToSocket(pending);
        }
    }
}

package loadbalancer.proxy.downstream;

import io.netty.buffer.Unpooled;

import loadbalancer.proxy.resources.ConnectionLimits;

/**
 * Reads one connection ahead of the decoding of its requests, up to a limit, because the end of the stream is behind all
 * bytes that the client has sent.
 */
final class ReadAhead {
    private final ClientChannel channel;
    private final ClientRequestDecoder decoder;

    ReadAhead(ClientChannel channel, ClientRequestDecoder decoder) {
        this.channel = channel;
        this.decoder = decoder;
    }

    /**
     * Reads what the client has sent, up to the limit and without decoding it.
     *
     * @return whether the client is connected; false if it is not, or if there is more to read
     */
    boolean confirmConnected() {
        boolean isPaused = decoder.isPaused();
        int bufferedBefore = decoder.bufferedBytes();
        decoder.setPaused(true);
        boolean isConnected = channel.drain(ConnectionLimits.MAX_READ_AHEAD_BYTES - bufferedBefore);
        decoder.setPaused(isPaused);
        if (!isPaused && decoder.bufferedBytes() > bufferedBefore) {
            channel.eventLoop().execute(this::decodeBuffered);
        }
        return isConnected;
    }

    /** Returns whether so much is waiting to be decoded that nothing more is read. */
    boolean isFull() {
        return decoder.bufferedBytes() >= ConnectionLimits.MAX_READ_AHEAD_BYTES;
    }

    /** Starts or stops reading, depending on what is waiting to be decoded. */
    void updateReading() {
        // Reading starts again only at half of the limit, because each read copies the bytes that wait.
        int limit = channel.config().isAutoRead()
                ? ConnectionLimits.MAX_READ_AHEAD_BYTES
                : ConnectionLimits.MAX_READ_AHEAD_BYTES / 2;
        boolean isWanted = !decoder.isYielding() && decoder.bufferedBytes() < limit;
        if (channel.config().isAutoRead() != isWanted) {
            channel.config().setAutoRead(isWanted);
        }
    }

    /** Decodes the bytes that have been read, unless decoding is paused. */
    void decodeBuffered() {
        channel.pipeline().fireChannelRead(Unpooled.EMPTY_BUFFER);
    }
}

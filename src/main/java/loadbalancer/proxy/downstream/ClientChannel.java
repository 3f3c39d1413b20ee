package loadbalancer.proxy.downstream;

import java.io.IOException;
import java.nio.channels.SocketChannel;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.socket.nio.NioSocketChannel;

import loadbalancer.proxy.resources.ConnectionLimits;

/** The socket channel of a client connection, with control over when and what the proxy reads. */
final class ClientChannel extends NioSocketChannel {
    private boolean detectsCloseOnly;
    /** Whether the last read found nothing to read, so that the client had not closed the connection by then. */
    private boolean isDrained;

    private int bytesLeftToDrain;

    ClientChannel(Channel listener, SocketChannel socket) {
        super(listener, socket);
    }

    /**
     * Reads received bytes immediately, which also detects that the client has closed the connection. Must not be
     * called while the channel is being read.
     */
    void readNow() {
        if (isActive() && config().isAutoRead()) {
            unsafe().read();
        }
    }

    /**
     * Reads received bytes until nothing is left, the connection ends, or about this many bytes have been read. Must not
     * be called while the channel is being read.
     *
     * @return whether nothing is left to read and the client has not closed the connection
     */
    boolean drain(int maxBytes) {
        if (detectsCloseOnly) {
            // The end of the stream may be behind the bytes that are left unread.
            return false;
        }
        isDrained = false;
        bytesLeftToDrain = maxBytes;
        while (isActive() && !isDrained && bytesLeftToDrain > 0) {
            unsafe().read();
        }
        return isActive() && isDrained;
    }

    /**
     * Leaves all further bytes in the socket's receive buffer. The channel still detects that the client closes the
     * connection, unless unread bytes precede the end of the stream.
     */
    void detectCloseOnly() {
        detectsCloseOnly = true;
    }

    /**
     * Shuts down the output and gives the client time to close the connection. If the proxy closed the socket at once,
     * further bytes from the client would reset the connection, and a response in transit would be lost.
     */
    void closeGracefully() {
        shutdownOutput();
        eventLoop().schedule((Runnable) this::close, ConnectionLimits.LINGER_MS, TimeUnit.MILLISECONDS);
    }

    /** Returns whether all received bytes have been read, without reading any. */
    boolean hasNoUnreadBytes() {
        return !isActive() || unreadBytes() == 0;
    }

    private int unreadBytes() {
        try {
            return javaChannel().socket().getInputStream().available();
        } catch (IOException e) {
            // The connection has failed, so no byte can be read from it.
            return 0;
        }
    }

    @Override
    protected int doReadBytes(ByteBuf buffer) throws Exception {
        if (!detectsCloseOnly) {
            int bytes = super.doReadBytes(buffer);
            isDrained = bytes == 0;
            bytesLeftToDrain -= Math.max(0, bytes);
            return bytes;
        }
        int read = unreadBytes() > 0 ? 1 : buffer.writeBytes(javaChannel(), 1);
        if (read <= 0) {
            return read;
        }
        // The client has sent bytes. They are left unread, so that they certainly have no effect.
        config().setAutoRead(false);
        buffer.clear();
        return 0;
    }
}

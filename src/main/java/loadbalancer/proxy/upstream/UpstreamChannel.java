package loadbalancer.proxy.upstream;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.function.BooleanSupplier;

import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.socket.nio.NioSocketChannel;

/**
 * A socket channel to an endpoint. It tracks how much of the current request the operating system has accepted, and can
 * check for unread input.
 */
public class UpstreamChannel extends NioSocketChannel {
    private final ByteBuffer oneByte = ByteBuffer.allocate(1);
    private boolean fullyWritten;
    private boolean partlyWritten;
    private BooleanSupplier writePermission = () -> true;

    /**
     * Resets {@link #isFullyWritten} and {@link #isPartlyWritten} for the next message. The caller calls this before it
     * writes the message.
     *
     * @param permission checked before each write of a part of the message; if it is not given, the write fails with a
     *     {@link WriteNotPermittedException}
     */
    final void startMessage(BooleanSupplier permission) {
        writePermission = permission;
        fullyWritten = false;
        partlyWritten = false;
    }

    /** Returns whether the operating system has accepted at least the first byte of the message. */
    final boolean isPartlyWritten() {
        return partlyWritten;
    }

    /**
     * Returns whether the operating system has accepted the last byte of the message. The value is current as soon as the
     * write returns, whereas Netty may notify the listeners of the write in a later event loop task.
     */
    final boolean isFullyWritten() {
        return fullyWritten;
    }

    @Override
    protected final void doWrite(ChannelOutboundBuffer pending) throws Exception {
        int buffers = pending.size();
        if (buffers > 0 && !writePermission.getAsBoolean()) {
            throw new WriteNotPermittedException();
        }
        try {
            writeToSocket(pending);
        } finally {
            fullyWritten = pending.isEmpty();
            partlyWritten |= pending.size() < buffers || pending.currentProgress() > 0;
        }
    }

    /** Writes as much of the pending data to the socket as the operating system accepts. */
    protected void writeToSocket(ChannelOutboundBuffer pending) throws Exception {
        super.doWrite(pending);
    }

    /**
     * Returns whether the connection is open and has no unread input. The check may consume one byte, so it is only
     * allowed between two exchanges. If it returns false, the caller has to close the connection.
     */
    final boolean hasNoUnreadInput() {
        try {
            return isActive() && javaChannel().read(oneByte.clear()) == 0;
        } catch (IOException e) {
            return false;
        }
    }
}

package loadbalancer.proxy.downstream;

import java.util.concurrent.TimeUnit;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

import loadbalancer.proxy.logging.EventLog;

/**
 * Resumes accepting connections soon after an error, with exponential backoff. Netty's own handler pauses for one
 * second, during which requests of clients in the backlog exceed their deadlines.
 */
final class AcceptErrorHandler extends ChannelInboundHandlerAdapter {
    private static final long INITIAL_BACKOFF_MS = 2;
    private static final long MAX_BACKOFF_MS = 50;

    private long backoffMs = INITIAL_BACKOFF_MS;

    @Override
    public void channelRead(ChannelHandlerContext context, Object connection) {
        backoffMs = INITIAL_BACKOFF_MS;
        context.fireChannelRead(connection);
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        EventLog.message("failed to accept a client connection: " + cause);
        if (!context.channel().config().isAutoRead()) {
            return;
        }
        // While no descriptor is left, every accept fails; retrying without a pause would keep the event loop busy.
        context.channel().config().setAutoRead(false);
        context.channel()
                .eventLoop()
                .schedule(
                        (Runnable) () -> context.channel().config().setAutoRead(true),
                        backoffMs,
                        TimeUnit.MILLISECONDS);
        backoffMs = Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
    }
}

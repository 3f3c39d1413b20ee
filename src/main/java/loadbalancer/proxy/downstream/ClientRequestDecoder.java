package loadbalancer.proxy.downstream;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

import loadbalancer.proxy.resources.ConnectionLimits;

/** Decodes the requests of one connection, and tracks whether a request has arrived in part. */
final class ClientRequestDecoder extends HttpRequestDecoder {
    private boolean isRequestIncomplete;

    ClientRequestDecoder() {
        super(new HttpDecoderConfig().setMaxChunkSize(ConnectionLimits.MAX_REQUEST_BODY_BYTES));
    }

    /** Returns whether a part of the next request has arrived since the last complete request. */
    boolean hasPartialRequest() {
        return isRequestIncomplete || actualReadableBytes() > 0;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
        int start = bytes.readerIndex();
        super.decode(context, bytes, messages);
        if (!messages.isEmpty() && messages.get(messages.size() - 1) instanceof LastHttpContent) {
            isRequestIncomplete = false;
        } else if (!isRequestIncomplete) {
            isRequestIncomplete = hasVisibleCharacter(bytes, start, bytes.readerIndex());
        }
    }

    /** Whitespace and line breaks between two requests are skipped and do not start a request. */
    private static boolean hasVisibleCharacter(ByteBuf bytes, int start, int end) {
        for (int i = start; i < end; i++) {
            if (bytes.getByte(i) > ' ') {
                return true;
            }
        }
        return false;
    }
}

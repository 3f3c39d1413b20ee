package loadbalancer.proxy.protocol;

import java.util.List;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpVersion;

/** Checks whether all peers find the end of an HTTP/1 message at the same byte. */
public final class MessageFraming {
    private MessageFraming() {}

    /**
     * Returns whether peers may find different ends of a message: it has a transfer coding besides chunks, or chunks
     * although it has a length or its version does not know them. The rest of such a message could be taken for another
     * message.
     */
    public static boolean isAmbiguous(HttpMessage head) {
        List<String> codings = head.headers().getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.isEmpty()) {
            return false;
        }
        boolean isChunkedOnly = codings.size() == 1 && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(codings.get(0));
        return !isChunkedOnly
                || head.headers().contains(HttpHeaderNames.CONTENT_LENGTH)
                || !head.protocolVersion().equals(HttpVersion.HTTP_1_1);
    }
}

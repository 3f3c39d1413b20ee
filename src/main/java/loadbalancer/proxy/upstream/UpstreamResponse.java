package loadbalancer.proxy.upstream;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;

import loadbalancer.policy.AttemptResult;
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.HeapBuffers;

/** An endpoint's response, as far as it is received. */
final class UpstreamResponse {
    private static final long DEFAULT_LENGTH_BYTES = 256;

    private final HttpResponse head;
    private final ByteBuf body;

    UpstreamResponse(HttpResponse head) {
        this.head = head;
        long length = HttpUtil.getContentLength(head, DEFAULT_LENGTH_BYTES);
        body = HeapBuffers.ALLOCATOR.buffer((int) Math.min(length, ConnectionLimits.INITIAL_RESPONSE_BUFFER_BYTES));
    }

    /** Returns whether a final response follows this one. */
    static boolean isInformational(HttpResponse head) {
        return head.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    }

    /** Returns whether the length in the head exceeds the limit for response bodies. */
    static boolean isTooLong(HttpResponse head) {
        return HttpUtil.getContentLength(head, DEFAULT_LENGTH_BYTES) > ConnectionLimits.MAX_RESPONSE_BODY_BYTES;
    }

    /** Returns whether the body has no length and no chunks, so that only the end of the connection delimits it. */
    private boolean isDelimitedByClose() {
        return !HttpUtil.isContentLengthSet(head) && !HttpUtil.isTransferEncodingChunked(head);
    }

    boolean allowsConnectionReuse() {
        return HttpUtil.isKeepAlive(head) && !isDelimitedByClose();
    }

    int size() {
        return body.readableBytes();
    }

    /** Returns the memory that the response takes up. */
    int heldBytes() {
        return body.capacity();
    }

    void append(ByteBuf more) {
        body.writeBytes(more);
    }

    byte[] body() {
        return ByteBufUtil.getBytes(body);
    }

    /** Returns the result of the attempt according to the response. */
    AttemptResult result() {
        if (head.status().code() == 200) {
            return AttemptResult.OK;
        }
        return isRejected(head) ? AttemptResult.REJECTED : AttemptResult.ERROR;
    }

    /** Returns whether the endpoint states that it has not executed the request. */
    static boolean isRejected(HttpResponse head) {
        int status = head.status().code();
        return (status == 503 || status == 504)
                && HttpProtocol.FLAG_SET.equals(head.headers().get(HttpProtocol.REJECTED_HEADER));
    }
}

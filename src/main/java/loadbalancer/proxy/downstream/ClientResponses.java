package loadbalancer.proxy.downstream;

import java.nio.charset.StandardCharsets;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;

/** Creates the responses to clients. */
final class ClientResponses {
    private static final double US_PER_S = 1e6;

    private ClientResponses() {}

    /** Creates the 100 Continue response, which asks for the body of a request. */
    static FullHttpResponse continueResponse() {
        return new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER);
    }

    /** Returns the body of an error response. A response to HEAD has none: it would be taken for the next response. */
    static byte[] reasonOf(BadRequestException error, HttpMethod method) {
        boolean isHead = method.equals(HttpMethod.HEAD);
        return isHead ? new byte[0] : (error.getMessage() + "\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Creates a final response. The Retry-After header is omitted if {@code retryAfterUs} is 0. */
    static FullHttpResponse finalResponse(HttpResponseStatus status, byte[] body, long retryAfterUs) {
        FullHttpResponse response =
                new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, Unpooled.wrappedBuffer(body));
        response.headers().set(HttpHeaderNames.CONTENT_LENGTH, body.length);
        if (retryAfterUs > 0) {
            response.headers().set(HttpHeaderNames.RETRY_AFTER, retryAfterUs / US_PER_S);
        }
        return response;
    }
}

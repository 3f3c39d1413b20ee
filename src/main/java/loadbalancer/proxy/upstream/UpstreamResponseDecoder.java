package loadbalancer.proxy.upstream;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseDecoder;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.AsciiString;

import loadbalancer.proxy.protocol.FilteredHeadersFactory;
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.resources.ConnectionLimits;

/**
 * Decodes responses of endpoints and rejects ambiguous ones. Netty's decoder is lenient: it accepts a line without a
 * colon as a header without a value, and a status code with a sign.
 *
 * <p>Only the responses that the caller expects are decoded. All other input is surplus: it is discarded, so that no part
 * of it is taken for the beginning of a later response, and {@link #hasSurplusInput} reports it.
 */
final class UpstreamResponseDecoder extends HttpResponseDecoder {
    private static final FilteredHeadersFactory HEADERS = new FilteredHeadersFactory(
            List.of(
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.CONNECTION,
                    HttpProtocol.REJECTED_HEADER),
            ConnectionLimits.MAX_RESPONSE_HEADER_FIELDS);
    private static final FilteredHeadersFactory TRAILERS =
            new FilteredHeadersFactory(List.of(), ConnectionLimits.MAX_RESPONSE_HEADER_FIELDS);

    private boolean isResponseExpected;
    /** Whether the message that is being decoded is an informational response, which a final one follows. */
    private boolean isInformational;

    private boolean hasSurplusInput;

    UpstreamResponseDecoder() {
        super(new HttpDecoderConfig().setHeadersFactory(HEADERS).setTrailersFactory(TRAILERS));
    }

    /** Expects one final response, and any number of informational responses before it. */
    void expectResponse() {
        isResponseExpected = true;
    }

    /** Returns whether any input has arrived that belongs to no expected response. The connection must not be reused. */
    boolean hasSurplusInput() {
        return hasSurplusInput;
    }

    @Override
    protected void decode(ChannelHandlerContext context, ByteBuf bytes, List<Object> messages) throws Exception {
        if (!isResponseExpected) {
            hasSurplusInput = true;
            bytes.skipBytes(bytes.readableBytes());
            return;
        }
        int firstNewMessage = messages.size();
        super.decode(context, bytes, messages);
        for (int i = firstNewMessage; i < messages.size(); i++) {
            onDecoded(messages.get(i));
        }
    }

    private void onDecoded(Object part) {
        if (part instanceof HttpResponse response) {
            isInformational = UpstreamResponse.isInformational(response);
        }
        if (part instanceof LastHttpContent) {
            isResponseExpected = isInformational;
        }
    }

    @Override
    protected HttpMessage createMessage(String[] initialLine) {
        String status = initialLine[1];
        if (status.length() != 3 || !status.chars().allMatch(c -> c >= '0' && c <= '9')) {
            throw new IllegalArgumentException("status code is not a number of three digits: " + status);
        }
        return super.createMessage(initialLine);
    }

    @Override
    protected AsciiString splitHeaderName(byte[] line, int start, int length) {
        if (length == 0 || line[start + length] != ':') {
            throw new IllegalArgumentException("header line has no colon directly after the name");
        }
        return super.splitHeaderName(line, start, length);
    }

    /**
     * Returns false for every response. The proxy never requests a protocol upgrade, so a 101 is handled like any other
     * informational response.
     */
    @Override
    protected boolean isSwitchingToNonHttp1Protocol(HttpResponse response) {
        return false;
    }
}

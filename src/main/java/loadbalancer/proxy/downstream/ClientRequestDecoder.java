package loadbalancer.proxy.downstream;

import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequestDecoder;
import io.netty.handler.codec.http.LastHttpContent;

import loadbalancer.proxy.protocol.FilteredHeadersFactory;
import loadbalancer.proxy.protocol.HttpProtocol;
import loadbalancer.proxy.resources.ConnectionLimits;

/**
 * Decodes the requests of one connection, and tracks whether a request has arrived in part. While it is paused, it keeps
 * the bytes of a read that are not decoded yet, which take up less memory than the requests in them.
 */
final class ClientRequestDecoder extends HttpRequestDecoder {
    /** What decoding all connections may cost in one iteration of the event loop, in bytes of input. */
    static final int MAX_ITERATION_COST = 64 << 10;

    /** What decoding a part of a message costs besides its bytes. */
    private static final int PART_COST = 64;
    /** What decoding one connection may cost at once. */
    private static final int MAX_SLICE_COST = 16 << 10;
    /** What decoding one connection may cost when the budget is exhausted: several short requests. */
    private static final int MIN_SLICE_COST = 2 << 10;

    private static final FilteredHeadersFactory HEADERS = new FilteredHeadersFactory(
            List.of(
                    HttpHeaderNames.CONTENT_LENGTH,
                    HttpHeaderNames.TRANSFER_ENCODING,
                    HttpHeaderNames.CONNECTION,
                    HttpHeaderNames.EXPECT,
                    HttpProtocol.TRANSACTION_ID_HEADER,
                    HttpProtocol.REQUEST_CLASS_HEADER,
                    HttpProtocol.REMAINING_TIME_HEADER,
                    HttpProtocol.TENANT_HEADER,
                    HttpProtocol.ESTIMATED_WORK_HEADER,
                    HttpProtocol.CLIENT_RETRY_HEADER,
                    HttpProtocol.IDEMPOTENCY_KEY_HEADER),
            ConnectionLimits.MAX_REQUEST_HEADER_FIELDS);
    private static final FilteredHeadersFactory TRAILERS =
            new FilteredHeadersFactory(List.of(), ConnectionLimits.MAX_REQUEST_HEADER_FIELDS);

    private ChannelHandlerContext context;
    private boolean isRequestIncomplete;
    private boolean isPaused;
    private boolean isDiscarding;
    private boolean isDecoding;
    /** The bytes that have been decoded since the end of the last request. */
    private int requestBytes;

    private final IterationBudget budget;
    private final Runnable whenYielding;
    /** What may be decoded before the rest is deferred. */
    private int sliceLeft;

    private boolean isYielding;
    private boolean isUnlimited;

    /**
     * Creates a decoder.
     *
     * @param budget limits how much is decoded at once
     * @param whenYielding called when the rest of the input has to wait until {@link #endYield} is called
     */
    ClientRequestDecoder(IterationBudget budget, Runnable whenYielding) {
        super(new HttpDecoderConfig()
                .setMaxChunkSize(ConnectionLimits.MAX_REQUEST_BODY_BYTES)
                .setHeadersFactory(HEADERS)
                .setTrailersFactory(TRAILERS));
        this.budget = budget;
        this.whenYielding = whenYielding;
    }

    /** Returns whether a part of the next request has arrived since the last complete request. */
    boolean hasPartialRequest() {
        return isRequestIncomplete || actualReadableBytes() > 0;
    }

    boolean isPaused() {
        return isPaused;
    }

    /** Sets whether bytes are kept without being decoded. They are decoded with the next read after a pause. */
    void setPaused(boolean paused) {
        isPaused = paused;
    }

    /** Returns whether the rest of the input waits because enough has been decoded for now. */
    boolean isYielding() {
        return isYielding;
    }

    /** Allows decoding to go on with the next read. */
    void endYield() {
        isYielding = false;
    }

    /** Decodes all buffered bytes, whatever the budget is. */
    void decodeAllBuffered() {
        isYielding = false;
        isUnlimited = true;
        decodeBuffered();
        isUnlimited = false;
    }

    /** Discards all bytes, those that have not been decoded yet and those that are read from now on. */
    void discardInput() {
        isDiscarding = true;
        if (!isDecoding && actualReadableBytes() > 0) {
            decodeBuffered();
        }
    }

    /** Decodes the bytes that are buffered, although no bytes have been read. */
    private void decodeBuffered() {
        try {
            channelRead(context, Unpooled.EMPTY_BUFFER);
        } catch (Exception e) {
            context.fireExceptionCaught(e);
        }
    }

    /** Returns the number of bytes that have been decoded since the end of the last request. */
    int requestBytes() {
        return requestBytes;
    }

    /** Returns the number of bytes that have been read and not decoded yet. */
    int bufferedBytes() {
        return actualReadableBytes();
    }

    /** Returns the memory that bytes which are not decoded yet take up. */
    int bufferCapacity() {
        return internalBuffer().capacity();
    }

    @Override
    public void handlerAdded(ChannelHandlerContext newContext) {
        context = newContext;
    }

    @Override
    public void channelRead(ChannelHandlerContext readContext, Object bytes) throws Exception {
        isDecoding = true;
        sliceLeft = Math.max(MIN_SLICE_COST, Math.min(MAX_SLICE_COST, budget.costLeft()));
        try {
            super.channelRead(readContext, bytes);
        } finally {
            isDecoding = false;
        }
    }

    @Override
    protected void decode(ChannelHandlerContext decodeContext, ByteBuf bytes, List<Object> messages) throws Exception {
        if (isDiscarding) {
            bytes.skipBytes(bytes.readableBytes());
        } else if (!isPaused && !isYielding) {
            decodeNext(decodeContext, bytes, messages);
            yieldIfSliceIsUsedUp(bytes.isReadable());
        }
    }

    private void decodeNext(ChannelHandlerContext decodeContext, ByteBuf bytes, List<Object> messages)
            throws Exception {
        int start = bytes.readerIndex();
        super.decode(decodeContext, bytes, messages);
        int decoded = bytes.readerIndex() - start;
        requestBytes += decoded;
        sliceLeft -= PART_COST + decoded;
        budget.spend(PART_COST + decoded);
        if (!messages.isEmpty() && messages.get(messages.size() - 1) instanceof LastHttpContent) {
            isRequestIncomplete = false;
            requestBytes = 0;
        } else if (!isRequestIncomplete) {
            isRequestIncomplete = hasVisibleCharacter(bytes, start, bytes.readerIndex());
        }
    }

    private void yieldIfSliceIsUsedUp(boolean hasMoreInput) {
        if (sliceLeft <= 0 && hasMoreInput && !isUnlimited) {
            isYielding = true;
            whenYielding.run();
        }
    }

    @Override
    protected String splitFirstWordInitialLine(byte[] line, int start, int length) {
        requireSpace(line, start + length);
        return super.splitFirstWordInitialLine(line, start, length);
    }

    @Override
    protected String splitSecondWordInitialLine(byte[] line, int start, int length) {
        requireNoSpace(line, start - 2);
        requireSpace(line, start + length);
        return super.splitSecondWordInitialLine(line, start, length);
    }

    @Override
    protected String splitThirdWordInitialLine(byte[] line, int start, int length) {
        requireNoSpace(line, start - 2);
        return super.splitThirdWordInitialLine(line, start, length);
    }

    /** The parts of a request line are separated by one space. Netty's decoder also accepts other white space. */
    private static void requireSpace(byte[] line, int index) {
        if (line[index] != ' ') {
            throw new IllegalArgumentException("the request line has another separator than a space");
        }
    }

    private static void requireNoSpace(byte[] line, int index) {
        if (line[index] <= ' ') {
            throw new IllegalArgumentException("the request line has a separator of several characters");
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

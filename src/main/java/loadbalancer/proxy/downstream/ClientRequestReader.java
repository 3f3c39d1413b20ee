package loadbalancer.proxy.downstream;

import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;

import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.HeapBuffers;

/**
 * Assembles complete requests from the bytes of one connection, and enforces the limits on their size and on the time
 * until they are complete. After it rejects a request, it discards all further bytes, because it cannot tell where the
 * next request begins.
 */
final class ClientRequestReader {
    private static final long READ_TIMEOUT_US = TimeUnit.MILLISECONDS.toMicros(ConnectionLimits.READ_TIMEOUT_MS);

    private final ClientConnection connection;
    private final ClientChannel channel;
    private final ClientRequestParser parser;
    private final Clock clock;
    private final long connectedAtUs;
    private final ClientRequestDecoder decoder;
    private final ReadAhead readAhead;

    private InputPhase phase = InputPhase.BETWEEN_REQUESTS;
    /** Whether a request has been received, either complete or rejected. */
    private boolean hasReceivedRequest;
    /** When the read timeout of the request that has arrived in part began. */
    private long requestStartedAtUs;
    /** Whether complete requests are rejected, to release their memory. */
    private boolean isShedding;

    private RequestHead head;
    private ByteBuf body = Unpooled.EMPTY_BUFFER;

    ClientRequestReader(
            ClientConnection connection,
            ClientChannel channel,
            ClientRequestParser parser,
            Clock clock,
            IterationBudget budget) {
        this.connection = connection;
        this.channel = channel;
        this.parser = parser;
        this.clock = clock;
        connectedAtUs = clock.nowUs();
        decoder = new ClientRequestDecoder(budget, () -> budget.defer(this::continueDecoding));
        readAhead = new ReadAhead(channel, decoder);
    }

    /** Returns what reads the connection ahead of the decoding of its requests. */
    ReadAhead readAhead() {
        return readAhead;
    }

    ClientRequestDecoder decoder() {
        return decoder;
    }

    /** Returns the channel handler that discards bytes before they reach the decoder once the input is closed. */
    ChannelInboundHandler inputFilter() {
        return new ChannelInboundHandlerAdapter() {
            @Override
            public void channelRead(ChannelHandlerContext context, Object bytes) {
                if (phase.isClosed()) {
                    ReferenceCountUtil.release(bytes);
                    return;
                }
                onBytes(context, (ByteBuf) bytes);
                connection.onInputMemoryChanged();
            }
        };
    }

    private void onBytes(ChannelHandlerContext context, ByteBuf bytes) {
        if (!phase.hasPartialRequest()) {
            phase = phase.onBytes();
            // The read timeout of the first request begins when the client connects.
            requestStartedAtUs = hasReceivedRequest ? clock.nowUs() : connectedAtUs;
        }
        context.fireChannelRead(bytes);
        if (decoder.requestBytes() > ConnectionLimits.MAX_REQUEST_WIRE_BYTES && !phase.isClosed()) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
        }
        onBufferedDecoded();
    }

    private void onBufferedDecoded() {
        phase = phase.onBytesDecoded(head != null || decoder.hasPartialRequest());
        readAhead.updateReading();
    }

    /** Processes the next decoded part of a request. */
    void read(HttpObject part) {
        // When a connection closes, the decoder emits the incomplete request, which gets no response.
        if (phase.isClosed() || !channel.isActive()) {
            return;
        }
        if (part.decoderResult().isFailure()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return;
        }
        if (part instanceof HttpRequest request && !startRequest(request)) {
            return;
        }
        if (part instanceof HttpContent content && !appendBody(content.content())) {
            return;
        }
        if (part instanceof LastHttpContent) {
            completeRequest();
        }
    }

    /** Returns false if the request is rejected because of its head. */
    private boolean startRequest(HttpRequest request) {
        head = parser.parseHead(request);
        if (head.rejection() != null) {
            reject(head.rejection());
            return false;
        }
        if (HttpUtil.is100ContinueExpected(request)) {
            connection.onContinueExpected();
        }
        return true;
    }

    /** Returns false if the request is rejected because its body is too long or not allowed. */
    private boolean appendBody(ByteBuf bytes) {
        if (!bytes.isReadable()) {
            return true;
        }
        if (!head.allowsBody()) {
            reject(HttpResponseStatus.BAD_REQUEST);
            return false;
        }
        if (body.readableBytes() + bytes.readableBytes() > ConnectionLimits.MAX_REQUEST_BODY_BYTES) {
            reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE);
            return false;
        }
        if (!body.isReadable()) {
            body = HeapBuffers.ALLOCATOR.heapBuffer(bytes.readableBytes(), ConnectionLimits.MAX_REQUEST_BODY_BYTES);
        }
        body.writeBytes(bytes);
        return true;
    }

    private void completeRequest() {
        ReceivedRequest request = isShedding
                ? ReceivedRequest.rejectedForLackOfMemory(head.isKeepAlive(), clock.nowUs())
                : ReceivedRequest.complete(head, ByteBufUtil.getBytes(body), clock.nowUs());
        resetRequest();
        deliver(request);
    }

    private void reject(HttpResponseStatus error) {
        reject(RequestRejection.closing(error));
    }

    private void reject(RequestRejection rejection) {
        resetRequest();
        phase = phase.onRequestRejected();
        decoder.discardInput();
        deliver(ReceivedRequest.rejected(rejection, clock.nowUs()));
    }

    private void resetRequest() {
        head = null;
        body.release();
        body = Unpooled.EMPTY_BUFFER;
        // If bytes of the next request have already arrived, its read timeout begins now.
        requestStartedAtUs = clock.nowUs();
    }

    private void deliver(ReceivedRequest request) {
        hasReceivedRequest = true;
        connection.onRequestReceived(request);
    }

    /** Rejects a request that is still incomplete after the read timeout. Has no effect while reading is paused. */
    void rejectIfTimedOut() {
        if (phase == InputPhase.IN_REQUEST
                && !decoder.isPaused()
                && clock.nowUs() - requestStartedAtUs > READ_TIMEOUT_US) {
            reject(HttpResponseStatus.REQUEST_TIMEOUT);
            connection.onInputMemoryChanged();
        }
    }

    /** Returns whether bytes that have been read and are not part of a complete request yet take up memory. */
    boolean hasRejectableInput() {
        return phase == InputPhase.IN_REQUEST && heldBytes() > 0;
    }

    /**
     * Rejects the requests among the bytes that are not decoded yet, and the request that has arrived in part, to release
     * their memory. Clients may safely retry them.
     */
    void rejectForLackOfMemory() {
        if (!hasRejectableInput()) {
            return;
        }
        isShedding = true;
        decoder.setPaused(false);
        decoder.decodeAllBuffered();
        isShedding = false;
        onBufferedDecoded();
        if (phase == InputPhase.IN_REQUEST) {
            reject(HttpResponseStatus.SERVICE_UNAVAILABLE);
        }
    }

    /** Returns the memory that the request which has arrived in part and bytes that are not decoded yet take up. */
    int heldBytes() {
        return decoder.bufferCapacity() + body.capacity() + (head == null ? 0 : head.heldBytes());
    }

    /** Returns for how long the request that has arrived in part has been incomplete. */
    long incompleteForUs() {
        return clock.nowUs() - requestStartedAtUs;
    }

    /** Stops decoding until {@link #resume} is called. Has no effect once the input is closed. */
    void pause() {
        if (!phase.isClosed() && !isShedding) {
            decoder.setPaused(true);
        }
    }

    /** Resumes decoding if it is paused, and restarts the read timeout. */
    void resume() {
        if (decoder.isPaused()) {
            decoder.setPaused(false);
            requestStartedAtUs = clock.nowUs();
            readAhead.decodeBuffered();
        }
    }

    private void continueDecoding() {
        decoder.endYield();
        readAhead.updateReading();
        readAhead.decodeBuffered();
    }

    /** Closes the input: all bytes that arrive from now on are discarded. */
    void close() {
        phase = phase.onClosed();
    }

    /** Leaves further bytes unread, as {@link ClientChannel#detectCloseOnly} does, unless the input is closed. */
    void detectCloseOnly() {
        if (!phase.isClosed()) {
            channel.detectCloseOnly();
        }
    }

    boolean isClosed() {
        return phase.isClosed();
    }

    /** Returns whether a request has been received, either complete or rejected. */
    boolean hasReceivedRequest() {
        return hasReceivedRequest;
    }

    /** Returns whether a request has arrived in part. The rest of it may have been read and wait to be decoded. */
    boolean hasPartialRequest() {
        return phase.hasPartialRequest();
    }

    /** Returns whether a request has arrived in part, and all that has been read of it is decoded. */
    boolean awaitsInput() {
        return phase.hasPartialRequest() && !decoder.isPaused() && !decoder.isYielding();
    }
}

package loadbalancer.proxy.upstream;

import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.LastHttpContent;

import loadbalancer.proxy.protocol.MessageFraming;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.MemoryBudget;

/**
 * Assembles the final response to one exchange at a time from the decoded parts of a connection's input, and enforces the
 * limits on its size and on the informational responses before it.
 */
final class UpstreamResponseAssembler {
    private final MemoryBudget.Reservation memory;
    /** The response as far as it is received, or null before its head. */
    private UpstreamResponse response;
    /** The number of informational responses since the exchange started. */
    private int informationalResponses;

    /** Creates an assembler that reserves memory for responses. */
    UpstreamResponseAssembler(MemoryBudget.Reservation memory) {
        this.memory = memory;
    }

    /** Begins the next exchange. */
    void start() {
        informationalResponses = 0;
    }

    /**
     * Adds a part of the response.
     *
     * @return whether the response is complete
     * @throws InvalidResponseException if the response cannot be used
     */
    boolean add(HttpObject part) throws InvalidResponseException {
        if (part.decoderResult().isFailure()) {
            // Later responses could not be matched to requests.
            throw new InvalidResponseException("malformed response");
        }
        if (part instanceof HttpResponse head) {
            addHead(head);
        }
        if (!(part instanceof HttpContent content) || response == null) {
            return false;
        }
        append(content);
        return part instanceof LastHttpContent;
    }

    private void addHead(HttpResponse head) throws InvalidResponseException {
        if (UpstreamResponse.isInformational(head)) {
            informationalResponses++;
            if (informationalResponses > ConnectionLimits.MAX_INFORMATIONAL_RESPONSES) {
                throw new InvalidResponseException("too many informational responses");
            }
            return;
        }
        if (MessageFraming.isAmbiguous(head)) {
            throw new InvalidResponseException("ambiguous framing of the response");
        }
        if (UpstreamResponse.isTooLong(head)) {
            throw new InvalidResponseException(
                    "content length exceeds the limit of " + ConnectionLimits.MAX_RESPONSE_BODY_BYTES + " bytes");
        }
        response = new UpstreamResponse(head);
        reserveMemory();
    }

    private void append(HttpContent content) throws InvalidResponseException {
        if (response.size() + content.content().readableBytes() > ConnectionLimits.MAX_RESPONSE_BODY_BYTES) {
            throw new InvalidResponseException(
                    "response body exceeds the limit of " + ConnectionLimits.MAX_RESPONSE_BODY_BYTES + " bytes");
        }
        response.append(content.content());
        reserveMemory();
    }

    private void reserveMemory() throws InvalidResponseException {
        if (!memory.resize(response.heldBytes())) {
            throw new InvalidResponseException("all buffered responses exceed the memory budget");
        }
    }

    /** Returns the response as far as it is received, or null before its head. */
    UpstreamResponse response() {
        return response;
    }

    /** Discards the response and releases its memory. */
    void discard() {
        response = null;
        memory.release();
    }
}

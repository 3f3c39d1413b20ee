package loadbalancer.proxy.downstream;

/**
 * What has arrived on a client connection behind the request that is being served, and still awaits its response.
 * Whatever may close the connection asks this class first.
 */
final class UnansweredInput {
    private final ClientChannel channel;
    private final ClientRequestReader reader;
    private final RequestPipeline pipeline;

    UnansweredInput(ClientChannel channel, ClientRequestReader reader, RequestPipeline pipeline) {
        this.channel = channel;
        this.reader = reader;
        this.pipeline = pipeline;
    }

    /** Returns whether anything has been read: a request that waits for its turn, or a part of one. */
    boolean isRead() {
        return !pipeline.isEmpty() || reader.hasPartialRequest();
    }

    /** Returns whether anything has arrived, whether it has been read or not. */
    boolean hasArrived() {
        return isRead() || !channel.hasNoUnreadBytes();
    }

    /** Returns whether a request has arrived in part, and only further input of the client can complete it. */
    boolean isStalled() {
        return reader.awaitsInput() && channel.hasNoUnreadBytes();
    }
}

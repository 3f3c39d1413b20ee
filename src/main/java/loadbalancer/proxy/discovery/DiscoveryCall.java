package loadbalancer.proxy.discovery;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.databind.JsonNode;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;

import loadbalancer.policy.discovery.DiscoveryCallId;
import loadbalancer.policy.discovery.DiscoveryCallOutcome;
import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.protocol.DiscoveryProtocol;
import loadbalancer.proxy.resources.Clock;

/** A call to discovery on a separate connection. The call becomes a watch when its first message is accepted. */
final class DiscoveryCall extends SimpleChannelInboundHandler<HttpObject> {
    /** The text with which the operating system reports that nothing listens at an address. */
    private static final String CONNECTION_REFUSED_MESSAGE = "Connection refused";

    private final DiscoveryCallId id;
    private final int addressGeneration;
    private final DiscoveryClient client;
    private final Channel channel;
    private final DiscoveryCallLog log;
    private final EndpointListParser parser = new EndpointListParser();
    private DiscoveryCallPhase phase = DiscoveryCallPhase.CONNECTING;

    /**
     * Creates a call on a connection that is being opened.
     *
     * @param addressGeneration the number of address changes of discovery before the call
     */
    DiscoveryCall(DiscoveryCallId id, int addressGeneration, DiscoveryClient client, Channel channel, Clock clock) {
        this.id = id;
        this.addressGeneration = addressGeneration;
        this.client = client;
        this.channel = channel;
        log = new DiscoveryCallLog(id, clock);
    }

    DiscoveryCallId id() {
        return id;
    }

    int addressGeneration() {
        return addressGeneration;
    }

    /**
     * Sends the request for a watch if the connection is open, or ends the call if connecting failed.
     *
     * @param afterVersion the version after which changes are requested, or {@link EndpointListVersion#NONE} to request
     *     the complete list
     */
    void onConnectCompleted(ChannelFuture connect, long afterVersion) {
        if (isClosed()) {
            return;
        }
        if (!connect.isSuccess()) {
            Throwable cause = connect.cause();
            end(outcomeOfConnect(cause), "connect failed: " + cause.getMessage());
            return;
        }
        log.onConnected();
        phase = phase.transitionTo(DiscoveryCallPhase.AWAITING_FIRST_MESSAGE);
        channel.pipeline().addLast(this);
        channel.writeAndFlush(watchRequest(afterVersion));
    }

    private static FullHttpRequest watchRequest(long afterVersion) {
        String target = DiscoveryProtocol.WATCH_TARGET;
        if (afterVersion != EndpointListVersion.NONE) {
            target += DiscoveryProtocol.AFTER_VERSION_PARAMETER + afterVersion;
        }
        FullHttpRequest request = new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.GET, target);
        request.headers().set(HttpHeaderNames.HOST, DiscoveryProtocol.HOST);
        return request;
    }

    /**
     * Returns the outcome of a call that could not connect. Only a refused connection shows that discovery is not
     * reachable. A connect that timed out, or that failed because this machine had no free descriptor, no free port or
     * no route, does not show it.
     */
    private static DiscoveryCallOutcome outcomeOfConnect(Throwable cause) {
        boolean isRefused = cause instanceof ConnectException
                && String.valueOf(cause.getMessage()).contains(CONNECTION_REFUSED_MESSAGE);
        return isRefused ? DiscoveryCallOutcome.CONNECTION_REFUSED : DiscoveryCallOutcome.FAILED;
    }

    /** Closes the call and logs the reason, without reporting the end to the client. */
    void close(String reason) {
        log.onClosed(reason, client.version().comparableOrNone());
        phase = phase.transitionTo(DiscoveryCallPhase.CLOSED);
        if (channel.isRegistered()) {
            channel.close();
        }
    }

    private void fail(String reason) {
        end(DiscoveryCallOutcome.FAILED, reason);
    }

    private void end(DiscoveryCallOutcome outcome, String reason) {
        if (!isClosed()) {
            close(reason);
            client.onCallEnded(this, outcome, reason);
        }
    }

    private boolean isClosed() {
        return phase == DiscoveryCallPhase.CLOSED;
    }

    private boolean isWatching() {
        return phase == DiscoveryCallPhase.WATCHING;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
        if (isClosed()) {
            return;
        }
        if (message.decoderResult().isFailure()) {
            fail("discovery sent a malformed HTTP response");
        } else if (message instanceof HttpResponse response) {
            log.onResponseHeader();
            if (response.status().code() != HttpResponseStatus.OK.code()) {
                fail("discovery responded with status " + response.status().code());
            }
        } else if (message instanceof HttpContent content) {
            onContent(content.content());
            if (message instanceof LastHttpContent) {
                end(DiscoveryCallOutcome.COMPLETED, "discovery completed the response");
            }
        }
    }

    private void onContent(ByteBuf content) {
        if (!content.isReadable()) {
            return;
        }
        log.onContentBytes();
        boolean hadPartialList = parser.hasPartialObject();
        List<EndpointList> lists;
        try {
            lists = decode(ByteBufUtil.getBytes(content));
        } catch (IOException | ConfigurationException e) {
            onMalformedList(e.getMessage());
            return;
        }
        boolean hasCompleteList = !lists.isEmpty();
        if (hasCompleteList || !parser.hasPartialObject()) {
            onMessage(lists);
        }
        boolean hasNewPartialList = parser.hasPartialObject() && (hasCompleteList || !hadPartialList);
        if (hasNewPartialList && !isClosed()) {
            client.onPartialList();
        }
    }

    private List<EndpointList> decode(byte[] bytes) throws IOException, ConfigurationException {
        List<EndpointList> lists = new ArrayList<>(1);
        for (JsonNode object : parser.parse(bytes)) {
            lists.add(client.decoder().decode(object));
        }
        return lists;
    }

    /**
     * Limits the lease, because the changes in a list that discovery has sent count as notified even if it is
     * malformed.
     */
    private void onMalformedList(String reason) {
        client.decoder().onMalformedList();
        client.onPartialList();
        log.onMalformedList();
        fail("malformed endpoint list: " + reason);
    }

    /**
     * Handles a message: endpoint lists, or a heartbeat if there are none. The header of a response does not count as a
     * message, because discovery may send nothing after it.
     */
    private void onMessage(List<EndpointList> lists) {
        boolean isHeartbeat = lists.isEmpty();
        if (isHeartbeat && !isWatching() && !client.isVersionComparable(this)) {
            // A heartbeat means that the list is unchanged. Without a version of this discovery, the proxy cannot know
            // which list that is.
            return;
        }
        client.onMessage(this);
        if (isWatching()) {
            lists.forEach(this::applyUnlessClosed);
        } else {
            onFirstMessage(lists);
        }
        if (isWatching()) {
            client.onListConfirmed(this);
        }
    }

    private void onFirstMessage(List<EndpointList> lists) {
        long currentVersion = client.version().comparableOrNone();
        boolean isHeartbeat = lists.isEmpty();
        log.onFirstMessage(isHeartbeat ? "heartbeat" : "list", currentVersion);
        if (isHeartbeat) {
            applyUnlessClosed(new EndpointList(currentVersion, false, List.of()));
        } else {
            lists.forEach(this::applyUnlessClosed);
        }
    }

    private void applyUnlessClosed(EndpointList list) {
        if (isClosed()) {
            return;
        }
        long currentVersion = client.version().comparableOrNone();
        boolean isApplied = client.apply(this, list, !isWatching());
        log.onList(list, isApplied, currentVersion);
        if (!isApplied) {
            client.onPartialList();
            fail("endpoint list version " + list.version() + " is lower than the current version " + currentVersion);
        } else if (!isWatching()) {
            phase = phase.transitionTo(DiscoveryCallPhase.WATCHING);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        end(DiscoveryCallOutcome.COMPLETED, "discovery closed the connection");
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        if (!(cause instanceof IOException)) {
            EventLog.error("unexpected error in a call to discovery", cause);
        }
        fail("connection to discovery failed: " + cause);
    }
}

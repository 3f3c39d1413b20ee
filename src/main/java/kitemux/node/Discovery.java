package kitemux.node;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

import com.fasterxml.jackson.databind.JsonNode;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFactory;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.concurrent.Future;

/** The watch on discovery's list. When it breaks it says so; asking again is the module's word. */
final class Discovery {
    /** What the watch tells. */
    interface Listener {
        void listed(HostList list);

        void failed(String reason);
    }

    private static final int CONNECT_TIMEOUT_MS = 2_000;

    private final EventLoop loop;
    private final List<String> zones;
    private final DiscoveryTimeouts timeouts;
    private final Clock clock;
    private final Listener listener;
    private final Bootstrap dialer;
    private InetSocketAddress address;
    private long rev;
    /** Whether the version is one of this place's, so that a watch can go on from it. */
    private boolean revIsOfHere = true;
    /** Whether the last list could not be read: of the next one, what can be read holds. */
    private boolean lastListWasBad;

    private boolean wanted;
    private Watch current;
    /** How many calls were made; each has its number in the log. */
    private long calls;
    /** When discovery last said something, on whichever watch; of that moment every silence is counted. */
    private long heardAtUs = DiscoveryTimeouts.NEVER;

    Discovery(
            EventLoop loop,
            NodeConfig config,
            DiscoveryTimeouts timeouts,
            Clock clock,
            Listener listener,
            ChannelFactory<? extends SocketChannel> channels) {
        this.loop = loop;
        this.timeouts = timeouts;
        this.clock = clock;
        this.listener = listener;
        address = config.discovery();
        zones = config.settings().zones;
        rev = config.known().rev();
        dialer = new Bootstrap()
                .group(loop)
                .channelFactory(channels)
                .option(ChannelOption.ALLOCATOR, Node.ALLOCATOR)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
                .handler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel channel) {
                        channel.pipeline().addLast(new HttpClientCodec());
                    }
                });
    }

    /** Opens a watch for all that changed since the last list; it takes the place of an earlier one. */
    void subscribe() {
        wanted = true;
        if (current != null) {
            current.end("replaced");
        }
        Watch watch = new Watch(++calls);
        current = watch;
        ChannelFuture opening = dialer.connect(address);
        watch.channel = opening.channel();
        watch.expectWithin(timeouts.firstResponseTimeoutUs(clock.nowUs(), heardAtUs));
        // Where no socket could be had it is another thread that tells of it.
        opening.addListener(done -> loop.execute(() -> dialed(watch, opening)));
    }

    private void dialed(Watch watch, ChannelFuture opening) {
        if (!opening.isSuccess()) {
            watch.broken("no connection: " + opening.cause().getMessage());
            return;
        }
        watch.connectedAtUs = clock.nowUs();
        watch.channel.pipeline().addLast(watch);
        FullHttpRequest ask = new DefaultFullHttpRequest(
                HttpVersion.HTTP_1_1,
                HttpMethod.GET,
                "/discovery/hosts?watch=1" + (revIsOfHere ? "&after=" + rev : ""));
        ask.headers().set(HttpHeaderNames.HOST, "discovery");
        watch.channel.writeAndFlush(ask);
    }

    /** Whether a watch is open or being opened. */
    boolean isOpen() {
        return current != null;
    }

    /**
     * Discovery is elsewhere from now on. The watch goes there at once; no failure is told of the old one.
     * Nothing says that versions mean the same at both places, so the whole list is asked for.
     */
    void moveTo(InetSocketAddress to) {
        if (!to.equals(address)) {
            Log.event(LogEvent.named("discovery_moved").with("from", address).with("to", to));
            address = to;
            revIsOfHere = false;
            if (wanted) {
                subscribe();
            }
        }
    }

    private final class Watch extends SimpleChannelInboundHandler<HttpObject> {
        private final ListReader reader = new ListReader();
        private Channel channel;
        private Future<?> silence;
        private boolean over;
        private boolean told;

        private final long number;
        private final long dialedAtUs = clock.nowUs();
        private long connectedAtUs;
        private long respondedAtUs;
        private long firstByteAtUs;
        private long firstListAtUs;

        Watch(long number) {
            this.number = number;
        }

        private void logState(String state, String reason) {
            Log.event(LogEvent.named("discovery_call")
                    .with("call", number)
                    .with("state", state)
                    .with("reason", reason)
                    .with("after", revIsOfHere ? rev : -1)
                    .with("age_us", clock.nowUs() - dialedAtUs)
                    .with("connected_us", sinceDial(connectedAtUs))
                    .with("status_us", sinceDial(respondedAtUs))
                    .with("first_byte_us", sinceDial(firstByteAtUs))
                    .with("first_list_us", sinceDial(firstListAtUs)));
        }

        /** Microseconds from the dial on, or -1 if it has not happened. */
        private long sinceDial(long atUs) {
            return atUs == 0 ? -1 : atUs - dialedAtUs;
        }

        private void expectWithin(long us) {
            if (silence != null) {
                silence.cancel(false);
            }
            silence = loop.schedule(() -> broken("silent"), us, TimeUnit.MICROSECONDS);
        }

        /** A list or a beat. The head of an answer is none: a watch may come up and say nothing. */
        private void heard() {
            heardAtUs = clock.nowUs();
            expectWithin(timeouts.silenceTimeoutUs());
        }

        /** Ends without telling the listener. */
        void end(String reason) {
            logState("closed", reason);
            over = true;
            silence.cancel(false);
            if (channel.isRegistered()) {
                channel.close();
            }
        }

        private void broken(String reason) {
            if (!over) {
                end(reason);
                current = null;
                listener.failed(reason);
            }
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
            if (over) {
                return;
            }
            if (message.decoderResult().isFailure()) {
                broken("answer cannot be read");
            } else if (message instanceof HttpResponse response) {
                respondedAtUs = clock.nowUs();
                if (response.status().code() != 200) {
                    broken("status " + response.status().code());
                }
            } else if (message instanceof HttpContent content) {
                read(content.content());
                if (message instanceof LastHttpContent) {
                    broken("watch ended");
                }
            }
        }

        private void read(ByteBuf bytes) {
            if (!bytes.isReadable()) {
                return;
            }
            if (firstByteAtUs == 0) {
                firstByteAtUs = clock.nowUs();
            }
            List<HostList> lists = new ArrayList<>(1);
            try {
                for (JsonNode object : reader.read(ByteBufUtil.getBytes(bytes))) {
                    lists.add(decode(object));
                }
            } catch (IOException | ConfigException e) {
                lastListWasBad = true;
                Log.event(LogEvent.named("list").with("action", "dropped").with("call", number));
                broken("bad list: " + e.getMessage());
                return;
            }
            if (lists.isEmpty() && !reader.isBetweenObjects()) {
                return;
            }
            heard();
            if (lists.isEmpty() && !told && revIsOfHere) {
                // A heartbeat as the first word says that nothing has changed: the call has its answer.
                logState("unchanged", "heartbeat");
                lists.add(new HostList(rev, false, List.of()));
            }
            for (HostList list : lists) {
                if (!over) {
                    accept(list);
                }
            }
        }

        /** A bad list is dropped and asked for anew. One that stays bad must not hide all later changes. */
        private HostList decode(JsonNode object) throws ConfigException {
            if (!lastListWasBad) {
                return HostList.decode(object, zones, "");
            }
            lastListWasBad = false;
            return HostList.decodeReadable(object, zones, unreadable -> {
                lastListWasBad = true;
                Log.event(LogEvent.named("list_entry_unreadable").with("reason", unreadable.getMessage()));
            });
        }

        private void accept(HostList list) {
            if (revIsOfHere && list.rev() < rev && (told || !list.all())) {
                // Late, or of a discovery that counts anew: what it says of a drain may be older than what is
                // known. The whole list, as the first word on the next watch, holds whatever its version.
                logList("dropped", list);
                revIsOfHere = false;
                broken("version " + list.rev() + " comes after " + rev);
                return;
            }
            if (firstListAtUs == 0) {
                firstListAtUs = clock.nowUs();
                logState("watching", "first list");
            }
            told = true;
            rev = list.rev();
            revIsOfHere = true;
            logList("taken_up", list);
            listener.listed(list);
        }

        private void logList(String action, HostList list) {
            if (list.hosts().isEmpty() && !list.all()) {
                return;
            }
            Log.event(LogEvent.named("list")
                    .with("action", action)
                    .with("call", number)
                    .with("version", list.rev())
                    .with("held", rev)
                    .with("whole", list.all())
                    .with("entries", list.hosts().size())
                    .with("leaving", list.leaving()));
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            broken("connection ended");
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            if (!(cause instanceof IOException)) {
                Log.error("watch on discovery", cause);
            }
            broken("connection failed");
        }
    }
}

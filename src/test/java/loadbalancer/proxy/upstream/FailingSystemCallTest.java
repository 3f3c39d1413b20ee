package loadbalancer.proxy.upstream;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.BindException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.SocketAddress;
import java.net.SocketException;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.nio.NioSocketChannel;

import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import loadbalancer.proxy.lifecycle.ProxyFixture;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** System calls that fail for a moment, as Linux documents: what has not run goes on, and nothing is counted for good. */
@Timeout(60)
class FailingSystemCallTest {
    private static final int FAILURES = 2;

    /** The call that fails, and with what. */
    private enum SystemCall {
        SOCKET(new SocketException("Too many open files in system")),
        REGISTER(new SocketException("Cannot allocate memory")),
        CONNECT_ADDRESS(new BindException("Cannot assign requested address")),
        CONNECT_NETWORK(new ConnectException("Network is unreachable")),
        CONNECT_BUFFERS(new SocketException("No buffer space available")),
        WRITE(new SocketException("No buffer space available")),
        READ_TIMED_OUT(new IOException("Connection timed out")),
        READ_NO_ROUTE(new NoRouteToHostException("No route to host"));

        @SuppressWarnings("ImmutableEnumChecker")
        private final IOException error;

        SystemCall(IOException error) {
            this.error = error;
        }

        boolean isOfRead() {
            return this == READ_TIMED_OUT || this == READ_NO_ROUTE;
        }

        boolean isOfConnect() {
            return name().startsWith("CONNECT");
        }
    }

    /** A connection to a server on which one call fails. */
    private static final class FailingServerChannel extends UpstreamChannel {
        private final SystemCall call;

        FailingServerChannel(SystemCall call) {
            this.call = call;
        }

        @Override
        protected void doRegister(ChannelPromise promise) {
            if (call == SystemCall.REGISTER) {
                promise.setFailure(call.error);
                return;
            }
            super.doRegister(promise);
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            if (call.isOfConnect()) {
                throw call.error;
            }
            return super.doConnect(remote, local);
        }

        @Override
        protected void writeToSocket(ChannelOutboundBuffer pending) throws Exception {
            if (call == SystemCall.WRITE) {
                throw call.error;
            }
            super.writeToSocket(pending);
        }

        @Override
        protected int doReadBytes(ByteBuf buffer) throws Exception {
            if (call.isOfRead()) {
                throw call.error;
            }
            return super.doReadBytes(buffer);
        }
    }

    /** The same for a connection to discovery. */
    private static final class FailingDiscoveryChannel extends NioSocketChannel {
        private final SystemCall call;

        FailingDiscoveryChannel(SystemCall call) {
            this.call = call;
        }

        @Override
        protected void doRegister(ChannelPromise promise) {
            if (call == SystemCall.REGISTER) {
                promise.setFailure(call.error);
                return;
            }
            super.doRegister(promise);
        }

        @Override
        protected boolean doConnect(SocketAddress remote, SocketAddress local) throws Exception {
            if (call.isOfConnect()) {
                throw call.error;
            }
            return super.doConnect(remote, local);
        }

        @Override
        protected void doWrite(ChannelOutboundBuffer pending) throws Exception {
            if (call == SystemCall.WRITE) {
                throw call.error;
            }
            super.doWrite(pending);
        }

        @Override
        protected int doReadBytes(ByteBuf buffer) throws Exception {
            if (call.isOfRead()) {
                throw call.error;
            }
            return super.doReadBytes(buffer);
        }
    }

    private static UpstreamChannel serverChannel(SystemCall call, AtomicInteger failures) {
        if (failures.getAndDecrement() <= 0) {
            return new UpstreamChannel();
        }
        if (call == SystemCall.SOCKET) {
            throw new ChannelException(call.error);
        }
        return new FailingServerChannel(call);
    }

    @ParameterizedTest
    @EnumSource(SystemCall.class)
    void anOrderIsServedIfItSurelyNeverRanAndFailsIfItMayHave(SystemCall call) throws Exception {
        AtomicInteger failures = new AtomicInteger(FAILURES);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.upstreamChannels = () -> serverChannel(call, failures);
            site.start(server);
            assertEquals(
                    call.isOfRead() ? 502 : 200,
                    site.ask(HttpMessages.order("t", "20000m")).status());
            assertEquals(1, server.requests.size());
            site.assertAllResourcesReleased();
        }
    }

    @ParameterizedTest
    @EnumSource(SystemCall.class)
    void aPageIsServedWhateverFailsForAMoment(SystemCall call) throws Exception {
        AtomicInteger failures = new AtomicInteger(FAILURES);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture site = ProxyFixture.withHeartbeat()) {
            site.upstreamChannels = () -> serverChannel(call, failures);
            site.start(server);
            assertEquals(200, site.ask(HttpMessages.page("t")).status());
            site.assertAllResourcesReleased();
        }
    }

    @ParameterizedTest
    @EnumSource(SystemCall.class)
    void discoveryIsCalledAgainAndItsListUsed(SystemCall call) throws Exception {
        AtomicInteger failures = new AtomicInteger(FAILURES);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ScriptedHttpServer discovery =
                        new ScriptedHttpServer((request, peer) -> peer.write(ProxyFixture.watchResponseHead()
                                + ProxyFixture.chunk(
                                        ProxyFixture.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n")));
                ProxyFixture site = new ProxyFixture(discovery)) {
            site.discoveryChannels = () -> {
                if (failures.getAndDecrement() <= 0) {
                    return new NioSocketChannel();
                }
                if (call == SystemCall.SOCKET) {
                    throw new ChannelException(call.error);
                }
                return new FailingDiscoveryChannel(call);
            };
            site.startWithCachedList(ProxyFixture.list(1, true));
            assertEquals(200, site.ask(HttpMessages.page("t")).status());
            site.assertAllResourcesReleased();
        }
    }
}

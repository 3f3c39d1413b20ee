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

/**
 * Tests temporary failures of system calls, with errors that Linux documents. A request that was not executed has to be
 * retried, and a failed call must not leave a connection, request or descriptor counted as open.
 */
@Timeout(60)
class FailingSystemCallTest {
    private static final int FAILURE_COUNT = 2;

    /** The failing system call and its error. */
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

        boolean failsOnRead() {
            return this == READ_TIMED_OUT || this == READ_NO_ROUTE;
        }

        boolean failsOnConnect() {
            return name().startsWith("CONNECT");
        }
    }

    /** A channel to an endpoint on which one system call fails. */
    private static final class FailingUpstreamChannel extends UpstreamChannel {
        private final SystemCall call;

        FailingUpstreamChannel(SystemCall call) {
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
            if (call.failsOnConnect()) {
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
            if (call.failsOnRead()) {
                throw call.error;
            }
            return super.doReadBytes(buffer);
        }
    }

    /** A channel to discovery on which one system call fails. */
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
            if (call.failsOnConnect()) {
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
            if (call.failsOnRead()) {
                throw call.error;
            }
            return super.doReadBytes(buffer);
        }
    }

    private static UpstreamChannel newUpstreamChannel(SystemCall call, AtomicInteger remainingFailures) {
        if (remainingFailures.getAndDecrement() <= 0) {
            return new UpstreamChannel();
        }
        if (call == SystemCall.SOCKET) {
            throw new ChannelException(call.error);
        }
        return new FailingUpstreamChannel(call);
    }

    @ParameterizedTest
    @EnumSource(SystemCall.class)
    void orderIsServedUnlessItMayHaveBeenExecuted(SystemCall call) throws Exception {
        AtomicInteger remainingFailures = new AtomicInteger(FAILURE_COUNT);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.upstreamChannels = () -> newUpstreamChannel(call, remainingFailures);
            proxyFixture.start(server);
            assertEquals(
                    call.failsOnRead() ? 502 : 200,
                    proxyFixture.ask(HttpMessages.order("t", "20000m")).status());
            assertEquals(1, server.requests.size());
            proxyFixture.assertAllResourcesReleased();
        }
    }

    @ParameterizedTest
    @EnumSource(SystemCall.class)
    void pageIsServedDespiteTemporaryFailures(SystemCall call) throws Exception {
        AtomicInteger remainingFailures = new AtomicInteger(FAILURE_COUNT);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture proxyFixture = ProxyFixture.withHeartbeat()) {
            proxyFixture.upstreamChannels = () -> newUpstreamChannel(call, remainingFailures);
            proxyFixture.start(server);
            assertEquals(200, proxyFixture.ask(HttpMessages.page("t")).status());
            proxyFixture.assertAllResourcesReleased();
        }
    }

    @ParameterizedTest
    @EnumSource(SystemCall.class)
    void discoveryIsCalledAgainAfterTemporaryFailures(SystemCall call) throws Exception {
        AtomicInteger remainingFailures = new AtomicInteger(FAILURE_COUNT);
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ScriptedHttpServer discovery =
                        new ScriptedHttpServer((request, peer) -> peer.write(ProxyFixture.watchResponseHead()
                                + ProxyFixture.chunk(
                                        ProxyFixture.list(2, true, "s0=" + server.endpoint() + "=Ready") + "\n")));
                ProxyFixture proxyFixture = new ProxyFixture(discovery)) {
            proxyFixture.discoveryChannels = () -> {
                if (remainingFailures.getAndDecrement() <= 0) {
                    return new NioSocketChannel();
                }
                if (call == SystemCall.SOCKET) {
                    throw new ChannelException(call.error);
                }
                return new FailingDiscoveryChannel(call);
            };
            proxyFixture.startWithCachedList(ProxyFixture.list(1, true));
            assertEquals(200, proxyFixture.ask(HttpMessages.page("t")).status());
            proxyFixture.assertAllResourcesReleased();
        }
    }
}

package loadbalancer.proxy.lifecycle;

import java.util.function.Function;

import io.netty.channel.ChannelFactory;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;

import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.LoadBalancerActions;
import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.downstream.ClientListener;
import loadbalancer.proxy.resources.Clock;
import loadbalancer.proxy.resources.ConnectionLimits;
import loadbalancer.proxy.resources.SystemClock;
import loadbalancer.proxy.upstream.UpstreamChannel;

/**
 * The dependencies of a node. Tests replace some of them, for example by channels whose system calls fail.
 *
 * @param clock the clock of the node
 * @param connectionReuseDelayUs the time after a response for which an upstream connection is not used again
 * @param loadBalancers creates the decision module, given the actions that the module may request
 * @param upstreamChannels creates the channels to endpoints
 * @param discoveryChannels creates the channels to discovery
 * @param listeners creates the channel that accepts client connections
 */
record ProxyNodeDependencies(
        Clock clock,
        long connectionReuseDelayUs,
        Function<LoadBalancerActions, LoadBalancer> loadBalancers,
        ChannelFactory<UpstreamChannel> upstreamChannels,
        ChannelFactory<? extends SocketChannel> discoveryChannels,
        ChannelFactory<ClientListener> listeners) {

    /** Returns the dependencies of a node in production. */
    static ProxyNodeDependencies standard(ProxyConfiguration config) {
        return new ProxyNodeDependencies(
                new SystemClock(),
                ConnectionLimits.REUSE_DELAY_US,
                actions -> new ServiceQLoadBalancer(config.settings(), config.seed(), actions),
                UpstreamChannel::new,
                NioSocketChannel::new,
                ClientListener::new);
    }
}

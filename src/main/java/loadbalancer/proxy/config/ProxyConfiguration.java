package loadbalancer.proxy.config;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;

import io.netty.util.NetUtil;

import loadbalancer.policy.LoadBalancerSettings;

/**
 * The configuration of one proxy instance.
 *
 * @param listen the address on which the proxy accepts connections of clients
 * @param discovery the address of discovery; null for an instance that never replaces its cached endpoint list
 * @param seed the seed of random numbers, which differs between starts
 * @param maxDescriptors the maximum number of file descriptors that the process may have open
 * @param maxMemoryBytes the maximum memory of the process; {@link Long#MAX_VALUE} if it is not limited
 * @param upstreamIdleTimeoutUs the time in microseconds after which endpoints close idle connections
 * @param cachedEndpoints the last endpoint list that the instance had before it was started
 * @param settings the settings of the policy
 */
public record ProxyConfiguration(
        InetSocketAddress listen,
        InetSocketAddress discovery,
        long seed,
        int maxDescriptors,
        long maxMemoryBytes,
        long upstreamIdleTimeoutUs,
        EndpointList cachedEndpoints,
        LoadBalancerSettings settings) {

    /**
     * Loads the configuration from the file whose path is in the environment. Addresses in the environment override
     * those in the file.
     *
     * @throws ConfigurationException if the file cannot be read, or a field is missing or invalid
     */
    public static ProxyConfiguration load(Map<String, String> env) throws ConfigurationException {
        return ConfigurationFile.read(env).parse();
    }

    /**
     * Loads the configuration again. The environment still has the address that discovery had when the process started,
     * so the address of discovery in the file takes precedence.
     *
     * @throws ConfigurationException if the file cannot be read, or a field is missing or invalid
     */
    public static ProxyConfiguration reload(Map<String, String> env) throws ConfigurationException {
        Map<String, String> currentEnv = new HashMap<>(env);
        currentEnv.remove(ConfigurationFile.DISCOVERY_VARIABLE);
        return load(currentEnv);
    }

    /**
     * Returns the configuration of an instance for the start-up warm-up, which listens on any free port, has the given
     * endpoints and does not call discovery.
     */
    public ProxyConfiguration forStartUpWarmUp(EndpointList endpoints) {
        LoadBalancerSettings warmUpSettings = new LoadBalancerSettings();
        warmUpSettings.zones.addAll(settings.zones);
        warmUpSettings.classes.addAll(settings.classes);
        warmUpSettings.tenants.addAll(settings.tenants);
        warmUpSettings.maxAttempts = settings.maxAttempts;
        warmUpSettings.cancellationEnabled = settings.cancellationEnabled;
        return new ProxyConfiguration(
                new InetSocketAddress(listen.getAddress(), 0),
                null,
                seed,
                maxDescriptors,
                maxMemoryBytes,
                upstreamIdleTimeoutUs,
                endpoints,
                warmUpSettings);
    }

    /**
     * Parses an IP address and a port. Host names are not allowed, because resolving them would block the thread.
     *
     * @param field the field that holds the address, for the exception
     * @throws ConfigurationException if the text is not an IP address, a colon and a port
     */
    public static InetSocketAddress parseAddress(String field, String text) throws ConfigurationException {
        int colon = text.lastIndexOf(':');
        byte[] ip = colon < 0 ? null : NetUtil.createByteArrayFromIpAddressString(text.substring(0, colon));
        if (ip == null) {
            throw invalidAddress(field, text);
        }
        try {
            return new InetSocketAddress(InetAddress.getByAddress(ip), Integer.parseInt(text.substring(colon + 1)));
        } catch (IOException | IllegalArgumentException e) {
            throw invalidAddress(field, text);
        }
    }

    private static ConfigurationException invalidAddress(String field, String text) {
        return new ConfigurationException(field, "is not an IP address and a port, separated by a colon", text);
    }
}

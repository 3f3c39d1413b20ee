package loadbalancer.proxy.lifecycle;

import java.lang.reflect.Proxy;
import java.util.Map;

import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;

/**
 * Reloads the configuration file on SIGHUP and applies it to the node. By default, SIGHUP terminates the JVM.
 *
 * <p>An invalid file may be only partly written. Because no second signal may follow, the file is read again for some
 * time.
 */
final class ConfigurationReloader {
    /** The time between two attempts to read an invalid file. */
    private static final long RETRY_INTERVAL_MS = 100;
    /** The maximum number of attempts after a signal, which last five seconds. */
    private static final int MAX_ATTEMPTS = 50;

    private static final long NO_PENDING_SIGNAL = Long.MAX_VALUE;

    private final Map<String, String> env;
    private final ProxyNode node;
    /** The number of received signals. A later signal ends the attempts that an earlier one started. */
    private long signalCount;
    /** The arrival time of the first signal since the file was last read successfully. */
    private long pendingSignalAtUs = NO_PENDING_SIGNAL;

    private ConfigurationReloader(Map<String, String> env, ProxyNode node) {
        this.env = env;
        this.node = node;
    }

    /**
     * Installs the SIGHUP handler. Uses reflection, because sun.misc.Signal is the only API for signals and the
     * compiler's warning about it cannot be suppressed for a single class.
     */
    static void installSignalHandler(Map<String, String> env, ProxyNode node) {
        ConfigurationReloader reloader = new ConfigurationReloader(env, node);
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object signalHandler = Proxy.newProxyInstance(
                    ConfigurationReloader.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        reloader.reload(node.nowUs());
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), signalHandler);
        } catch (ReflectiveOperationException e) {
            EventLog.error("SIGHUP cannot be handled", e);
        }
    }

    /**
     * Reloads the configuration, with retries. The JVM calls this method on a separate thread for each signal, so that
     * reading and waiting never block the event loop. The method is synchronized so that the file that was read last
     * takes effect; waiting releases the lock for a later signal.
     */
    private synchronized void reload(long receivedAtUs) throws InterruptedException {
        long signalNumber = ++signalCount;
        pendingSignalAtUs = Math.min(pendingSignalAtUs, receivedAtUs);
        for (int attempt = 1; attempt <= MAX_ATTEMPTS && !tryReload(attempt); attempt++) {
            wait(RETRY_INTERVAL_MS);
            if (signalNumber != signalCount) {
                return;
            }
        }
    }

    private boolean tryReload(int attempt) {
        try {
            ProxyConfiguration newConfig = ProxyConfiguration.reload(env);
            EventLog.event(LogEvent.named("reload").with("attempt", attempt).with("discovery", newConfig.discovery()));
            node.reload(newConfig, pendingSignalAtUs);
            pendingSignalAtUs = NO_PENDING_SIGNAL;
            return true;
        } catch (ConfigurationException e) {
            if (attempt == 1 || attempt == MAX_ATTEMPTS) {
                EventLog.message("reload: " + e.getMessage() + "; the previous configuration remains in effect"
                        + (attempt == 1 ? ", and the file will be read again" : ""));
            }
            return false;
        }
    }
}

package loadbalancer.proxy.lifecycle;

import java.lang.reflect.Proxy;
import java.util.Map;

import loadbalancer.proxy.config.ConfigurationException;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.logging.EventLog;
import loadbalancer.proxy.logging.LogEvent;

/**
 * SIGHUP: the configuration file is read again and the node is told. A JVM left alone would end on it.
 *
 * <p>A file that cannot be read may be half written: it is read again for some time, as no second signal need come.
 */
final class ConfigurationReloader {
    /** Between two attempts to read a file that cannot be used. */
    private static final long RETRY_MS = 100;
    /** Attempts after a signal: for five seconds. */
    private static final int MAX_ATTEMPTS = 50;

    private static final long NO_PENDING_SIGNAL = Long.MAX_VALUE;

    private final Map<String, String> env;
    private final ProxyNode node;
    /** How many signals have come: a later one ends the attempts of those before it. */
    private long signalCount;
    /** When the first signal came behind which the file has not been read yet. */
    private long pendingSignalAtUs = NO_PENDING_SIGNAL;

    private ConfigurationReloader(Map<String, String> env, ProxyNode node) {
        this.env = env;
        this.node = node;
    }

    /**
     * Takes over the signal. By name, as the compiler's warning about sun.misc.Signal, which is the only way
     * to have signals, cannot be turned off for one class.
     */
    static void installSignalHandler(Map<String, String> env, ProxyNode node) {
        ConfigurationReloader reload = new ConfigurationReloader(env, node);
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object read = Proxy.newProxyInstance(
                    ConfigurationReloader.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        reload.reload(node.nowUs());
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), read);
        } catch (ReflectiveOperationException e) {
            EventLog.error("SIGHUP cannot be handled", e);
        }
    }

    /**
     * Each signal has a thread of its own, on which files are read and waits pass, never on the event loop. One at a
     * time, so that the file as read last is what holds; a wait lets a later signal in.
     */
    private synchronized void reload(long cameAtUs) throws InterruptedException {
        long signal = ++signalCount;
        pendingSignalAtUs = Math.min(pendingSignalAtUs, cameAtUs);
        for (int attempt = 1; attempt <= MAX_ATTEMPTS && !tryReload(attempt); attempt++) {
            wait(RETRY_MS);
            if (signal != signalCount) {
                return;
            }
        }
    }

    private boolean tryReload(int attempt) {
        try {
            ProxyConfiguration changed = ProxyConfiguration.reload(env);
            EventLog.event(LogEvent.named("reload").with("attempt", attempt).with("discovery", changed.discovery()));
            node.reload(changed, pendingSignalAtUs);
            pendingSignalAtUs = NO_PENDING_SIGNAL;
            return true;
        } catch (ConfigurationException e) {
            if (attempt == 1 || attempt == MAX_ATTEMPTS) {
                EventLog.message("reload: " + e.getMessage() + "; the configuration stays as it was"
                        + (attempt == 1 ? ", the file is read again" : ""));
            }
            return false;
        }
    }
}

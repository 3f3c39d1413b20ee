package kitemux.node;

import java.lang.reflect.Proxy;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.util.concurrent.Future;

/**
 * SIGHUP: the configuration file is read again and the node is told. A JVM left alone would end on it.
 *
 * <p>A file that cannot be read may be half written: it is read again for some time, as no second signal need come.
 */
final class Reload {
    /** Between two attempts to read a file that cannot be used. */
    private static final long RETRY_MS = 100;
    /** Attempts after a signal: for five seconds. */
    private static final int MOST_ATTEMPTS = 50;

    private final Map<String, String> env;
    private final Node node;
    private final EventLoop loop;
    private Future<?> retry;

    private Reload(Map<String, String> env, Node node, EventLoop loop) {
        this.env = env;
        this.node = node;
        this.loop = loop;
    }

    /**
     * Takes over the signal. By name, as the compiler's warning about sun.misc.Signal, which is the only way
     * to have signals, cannot be turned off for one class.
     */
    static void onHangUp(Map<String, String> env, Node node, EventLoop loop) {
        Reload reload = new Reload(env, node, loop);
        try {
            Class<?> signal = Class.forName("sun.misc.Signal");
            Class<?> handler = Class.forName("sun.misc.SignalHandler");
            Object read = Proxy.newProxyInstance(
                    Reload.class.getClassLoader(), new Class<?>[] {handler}, (proxy, method, args) -> {
                        reload.read(1);
                        return null;
                    });
            signal.getMethod("handle", signal, handler)
                    .invoke(null, signal.getConstructor(String.class).newInstance("HUP"), read);
        } catch (ReflectiveOperationException e) {
            Log.error("SIGHUP cannot be handled", e);
        }
    }

    /** Each signal has a thread of its own: one at a time, so that the file as read last is what holds. */
    private synchronized void read(int attempt) {
        if (retry != null) {
            retry.cancel(false);
            retry = null;
        }
        try {
            NodeConfig changed = NodeConfig.reread(env);
            Log.event(LogEvent.named("reload").with("attempt", attempt).with("discovery", changed.discovery()));
            node.reload(changed);
        } catch (ConfigException e) {
            if (attempt == 1 || attempt == MOST_ATTEMPTS) {
                Log.line("reload: " + e.getMessage() + "; the configuration stays as it was"
                        + (attempt == 1 ? ", the file is read again" : ""));
            }
            if (attempt < MOST_ATTEMPTS) {
                retry = loop.schedule(() -> read(attempt + 1), RETRY_MS, TimeUnit.MILLISECONDS);
            }
        }
    }
}

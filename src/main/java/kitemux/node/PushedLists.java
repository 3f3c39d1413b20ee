package kitemux.node;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;

/**
 * Holds back the start of a node where lists are pushed: what discovery's agent has counts as notified from the first
 * moment of a process, so clients can connect once the first list is there, or has not come for some time.
 */
final class PushedLists implements Discovery.Listener {
    /** The agent is not always there; without it the list that is known has to do. */
    private static final long FIRST_LIST_US = 2_000_000;

    private final EventLoop loop;
    private final Discovery.Listener listener;
    private Runnable whenFirst = () -> {};
    private boolean firstIsOver;

    PushedLists(EventLoop loop, Discovery.Listener listener) {
        this.loop = loop;
        this.listener = listener;
    }

    /** Calls back once, when the first list is there or has not come for some time. */
    void afterFirst(Runnable call) {
        if (firstIsOver) {
            call.run();
        } else {
            whenFirst = call;
        }
    }

    /** Begins to watch: the module asks for no lists where they are pushed. */
    void start(Discovery discovery) {
        loop.schedule(this::first, FIRST_LIST_US, TimeUnit.MICROSECONDS);
        discovery.start();
    }

    private void first() {
        Runnable call = whenFirst;
        whenFirst = () -> {};
        firstIsOver = true;
        call.run();
    }

    @Override
    public void listed(HostList list) {
        listener.listed(list);
        first();
    }
}

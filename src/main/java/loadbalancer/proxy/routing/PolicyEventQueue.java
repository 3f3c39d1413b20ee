package loadbalancer.proxy.routing;

import java.util.ArrayDeque;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import loadbalancer.proxy.logging.EventLog;

/**
 * The events that the decision module is still to be notified of, in order. Nothing is fed back into the module
 * from inside one of its events.
 *
 * <p>Events are handed over once all is read that has come on any connection. The module would otherwise, on an
 * event from one, send on a request whose client has left, as the end of that connection is read next.
 */
public final class PolicyEventQueue {
    private final EventLoop loop;
    private final Consumer<InFlightRequest> onFailure;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean isScheduled;

    /** One event, and the request that it is about, or null. */
    private record Event(InFlightRequest about, Runnable notification) {}

    /** The consumer is given each unended request whose event met a defect. */
    public PolicyEventQueue(EventLoop loop, Consumer<InFlightRequest> onDefect) {
        this.loop = loop;
        this.onFailure = onDefect;
    }

    public void add(InFlightRequest about, Runnable notification) {
        events.add(new Event(about, notification));
        schedule();
    }

    private void schedule() {
        if (!isScheduled) {
            isScheduled = true;
            loop.execute(this::deliver);
        }
    }

    private void deliver() {
        try {
            Event event;
            while ((event = events.poll()) != null) {
                deliver(event);
            }
        } finally {
            isScheduled = false;
            if (!events.isEmpty()) {
                // One of them has met what could not even be logged; the others still have their turn.
                schedule();
            }
        }
    }

    private void deliver(Event event) {
        try {
            event.notification.run();
        } catch (RuntimeException | Error e) {
            // A defect met by one request, or memory that ran out on it, must neither end the node nor leave it
            // without a response.
            EventLog.error("event", e);
            if (event.about != null && !event.about.isEnded) {
                onFailure.accept(event.about);
            }
        }
    }
}

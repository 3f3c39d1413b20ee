package loadbalancer.proxy.routing;

import java.util.ArrayDeque;
import java.util.function.Consumer;

import io.netty.channel.EventLoop;

import loadbalancer.proxy.logging.EventLog;

/**
 * A queue of the events that the decision module has not been notified of yet, in order. The module is never called
 * while it handles an event.
 *
 * <p>Events are delivered after all connections with pending input have been read. Otherwise, an event from one
 * connection could make the module send a request whose client has disconnected, if that disconnect is read next.
 */
public final class PolicyEventQueue {
    private final EventLoop loop;
    private final Consumer<InFlightRequest> onFailure;
    private final ArrayDeque<Event> events = new ArrayDeque<>();
    private boolean isScheduled;

    /** An event, and the request that it concerns, or null. */
    private record Event(InFlightRequest request, Runnable notification) {}

    /**
     * Creates an empty queue.
     *
     * @param onFailure called with each request that has not ended and whose event caused an exception
     */
    public PolicyEventQueue(EventLoop loop, Consumer<InFlightRequest> onFailure) {
        this.loop = loop;
        this.onFailure = onFailure;
    }

    /**
     * Adds an event.
     *
     * @param request the request that the event concerns, or null
     * @param notification notifies the decision module
     */
    public void add(InFlightRequest request, Runnable notification) {
        events.add(new Event(request, notification));
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
                // An event caused an exception that could not even be logged. The remaining events are still delivered.
                schedule();
            }
        }
    }

    private void deliver(Event event) {
        try {
            event.notification.run();
        } catch (RuntimeException | Error e) {
            // A defect or an OutOfMemoryError in one event must neither end the node nor leave the request without a
            // response.
            EventLog.error("decision module event failed", e);
            if (event.request != null && !event.request.isEnded) {
                onFailure.accept(event.request);
            }
        }
    }
}

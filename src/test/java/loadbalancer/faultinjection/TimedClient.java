package loadbalancer.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import loadbalancer.testsupport.HttpMessages;

/**
 * A client that sends one valid request after another on a keep-alive connection. If the connection closes without a
 * response, it sends the request again on another one. A request without a complete response half a second after its
 * deadline is lost.
 */
final class TimedClient implements AutoCloseable {
    private static final int REMAINING_MS = 2_000;
    private static final int LOST_AFTER_MS = REMAINING_MS + 500;
    private static final int OBJECTIVE_MS = 500;
    /** From the latency objective of a request to the time at which it is lost. */
    private static final long AFTER_OBJECTIVE_NANOS = TimeUnit.MILLISECONDS.toNanos(LOST_AFTER_MS - OBJECTIVE_MS);

    private static final long REQUEST_PAUSE_MS = 10;
    private static final int OK = 200;

    private final ReconnectingSocket socket;
    private final String clientName;
    private final AtomicInteger served = new AtomicInteger();
    private final AtomicInteger servedOnTime = new AtomicInteger();
    private final AtomicInteger unserved = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private volatile boolean closed;

    TimedClient(String clientName, InetSocketAddress nodeAddress) {
        this.clientName = clientName;
        socket = new ReconnectingSocket(nodeAddress);
        StandInThreads.start(this::run);
    }

    /** Returns the number of requests that were served. */
    int served() {
        return served.get();
    }

    /** Returns the number of requests that were served within the latency objective. */
    int servedOnTime() {
        return servedOnTime.get();
    }

    /** Returns the number of requests that got another final response in time. */
    int unserved() {
        return unserved.get();
    }

    /** Returns the number of requests that got no final response in time. */
    int lost() {
        return lost.get();
    }

    private void run() throws InterruptedException {
        for (int requestNumber = 0; !closed; requestNumber++) {
            long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(LOST_AFTER_MS);
            while (!sendRequest(clientName + "-" + requestNumber, deadlineNanos)) {
                socket.disconnect();
                if (System.nanoTime() >= deadlineNanos) {
                    lost.incrementAndGet();
                    break;
                }
            }
            Thread.sleep(REQUEST_PAUSE_MS);
        }
        socket.disconnect();
    }

    /** Returns false if there was no complete response, because the connection closed or the deadline has passed. */
    private boolean sendRequest(String requestId, long deadlineNanos) throws InterruptedException {
        int remainingMs = (int) TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        if (remainingMs <= 0) {
            return false;
        }
        try {
            String request = HttpMessages.page("/api/page", requestId, REMAINING_MS + "m");
            boolean isServed = socket.ask(request, remainingMs).status() == OK;
            (isServed ? served : unserved).incrementAndGet();
            if (isServed && System.nanoTime() < deadlineNanos - AFTER_OBJECTIVE_NANOS) {
                servedOnTime.incrementAndGet();
            }
            return true;
        } catch (IOException e) {
            Thread.sleep(REQUEST_PAUSE_MS);
            return false;
        }
    }

    @Override
    public void close() {
        closed = true;
    }
}

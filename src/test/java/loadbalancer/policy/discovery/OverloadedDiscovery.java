package loadbalancer.policy.discovery;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;

import loadbalancer.policy.LoadBalancerSettings;

/**
 * Simulates, in virtual time, instances that start at the same time and a discovery that serves calls one after
 * another. A call that has been queued for too long is rejected, but discovery still spends the service time on it.
 * Each instance uses the scheduler and the lease of production.
 */
final class OverloadedDiscovery {
    private static final long QUEUE_TIMEOUT_US = 2_000_000;
    /**
     * The queue also holds calls that have timed out. A call that arrives while the queue is full is rejected early.
     */
    private static final int QUEUE_CAPACITY = 50;

    private static final long REJECTION_DELAY_US = 5_000;
    private static final long REFUSAL_DELAY_US = 1_000;
    private static final long HEARTBEAT_INTERVAL_US = 2_000_000;

    /**
     * The leases and calls of all instances.
     *
     * @param leasedAtUs the times at which instances were first granted a lease, in ascending order, without the
     *     instances that never were
     * @param calls the number of calls of all instances
     */
    record Result(List<Long> leasedAtUs, int calls) {
        /**
         * Returns the seconds until a share of the instances had a lease, or infinity if fewer instances ever had one.
         */
        double secondsUntilLeased(double share, int instances) {
            int count = (int) Math.ceil(share * instances);
            return count > leasedAtUs.size() ? Double.POSITIVE_INFINITY : leasedAtUs.get(count - 1) / 1e6;
        }
    }

    /** A time in which discovery is down: its watches are reset, and calls are refused. */
    record Outage(long fromUs, long untilUs) {
        private boolean contains(long atUs) {
            return fromUs <= atUs && atUs < untilUs;
        }
    }

    /**
     * What an outage costs.
     *
     * @param withoutLeaseUs for each instance, how long it had no lease, in ascending order
     * @param leasedAfterUs for each instance, how long after the outage it had a lease, in ascending order
     */
    record OutageCost(List<Long> withoutLeaseUs, List<Long> leasedAfterUs) {}

    private record Event(long atUs, Runnable runnable) {}

    private record QueuedCall(InstanceClient client, DiscoveryCallId call, long queuedAtUs) {}

    private final PriorityQueue<Event> events = new PriorityQueue<>(Comparator.comparingLong(Event::atUs));
    private final ArrayDeque<QueuedCall> queue = new ArrayDeque<>();
    private final List<InstanceClient> clients = new ArrayList<>();
    private final long serviceTimeUs;
    private final long outageUntilUs;
    private Outage outage = new Outage(0, 0);
    private long nowUs;
    private int calls;
    private boolean isServing;

    /**
     * Creates instances that have not started yet, and their discovery.
     *
     * @param instances the number of instances in the settings
     * @param startingInstances the number of instances that start
     * @param callsPerSecond the number of calls that discovery can serve in a second
     * @param outageUntilUs the time before which discovery serves no call
     */
    OverloadedDiscovery(int instances, int startingInstances, double callsPerSecond, long outageUntilUs, long seed) {
        serviceTimeUs = (long) (1e6 / callsPerSecond);
        this.outageUntilUs = outageUntilUs;
        SplittableRandom random = new SplittableRandom(seed);
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.endpointListPolled = true;
        settings.drainGraceUs = 500_000;
        settings.instances = instances;
        for (int i = 0; i < startingInstances; i++) {
            clients.add(new InstanceClient(settings, random.split()));
        }
    }

    private final class InstanceClient implements DiscoveryCallActions {
        private final DiscoveryCallScheduler scheduler;
        private final EndpointListLease lease;
        private final List<DiscoveryCallId> openCalls = new ArrayList<>();
        private DiscoveryCallId watch;
        private long firstLeasedAtUs = -1;
        private long lostAtUs = -1;
        private long regainedAtUs = -1;

        InstanceClient(LoadBalancerSettings settings, SplittableRandom random) {
            lease = new EndpointListLease(EndpointListLeaseTerms.of(settings));
            scheduler = new DiscoveryCallScheduler(
                    DiscoveryCallTiming.of(settings), (minUs, maxUs) -> random.nextLong(minUs, maxUs + 1), lease, this);
        }

        @Override
        public void open(DiscoveryCallId call) {
            calls++;
            openCalls.add(call);
            if (outage.contains(nowUs)) {
                scheduleAfter(REFUSAL_DELAY_US, () -> endCall(call, DiscoveryCallOutcome.CONNECTION_REFUSED));
                return;
            }
            boolean isFull = queue.size() >= QUEUE_CAPACITY;
            scheduleAfter(isFull ? REJECTION_DELAY_US : QUEUE_TIMEOUT_US, () -> reject(call));
            if (!isFull && nowUs >= outageUntilUs) {
                queue.add(new QueuedCall(this, call, nowUs));
                serveNext();
            }
        }

        @Override
        public void close(DiscoveryCallId call, String reason) {
            openCalls.remove(call);
        }

        private void reject(DiscoveryCallId call) {
            if (!call.equals(watch)) {
                endCall(call, DiscoveryCallOutcome.FAILED);
            }
        }

        private void endCall(DiscoveryCallId call, DiscoveryCallOutcome outcome) {
            if (openCalls.remove(call)) {
                scheduler.onCallEnded(nowUs, call, outcome);
            }
        }

        private void serve(DiscoveryCallId call) {
            if (openCalls.contains(call)) {
                watch = call;
                sendHeartbeat(call);
            }
        }

        private void sendHeartbeat(DiscoveryCallId call) {
            if (openCalls.contains(call)) {
                if (firstLeasedAtUs >= 0 && lostAtUs < 0 && !lease.isValid(nowUs)) {
                    lostAtUs = lease.expiresAtUs();
                    regainedAtUs = nowUs;
                }
                scheduler.onMessage(nowUs, call);
                scheduler.onListConfirmed(nowUs, call);
                firstLeasedAtUs = firstLeasedAtUs < 0 ? nowUs : firstLeasedAtUs;
                scheduleAfter(HEARTBEAT_INTERVAL_US, () -> sendHeartbeat(call));
            }
        }
    }

    private void scheduleAfter(long delayUs, Runnable runnable) {
        events.add(new Event(nowUs + delayUs, runnable));
    }

    private void serveNext() {
        if (isServing || queue.isEmpty()) {
            return;
        }
        isServing = true;
        QueuedCall next = queue.poll();
        scheduleAfter(serviceTimeUs, () -> {
            isServing = false;
            if (nowUs - next.queuedAtUs < QUEUE_TIMEOUT_US) {
                next.client.serve(next.call);
            }
            serveNext();
        });
    }

    /** Starts all instances at time 0 and runs the simulation for a duration. */
    Result run(long durationUs) {
        clients.forEach(client -> client.scheduler.start(0));
        runUntil(durationUs);
        List<Long> leasedAtUs = clients.stream()
                .map(client -> client.firstLeasedAtUs)
                .filter(atUs -> atUs >= 0)
                .sorted()
                .toList();
        return new Result(leasedAtUs, calls);
    }

    /**
     * Starts all instances at time 0, and has discovery go down for a time once they all have their leases. Instances that
     * are still without a lease after the duration count as without one until then.
     */
    OutageCost runOutage(Outage newOutage, long durationUs) {
        outage = newOutage;
        clients.forEach(client -> client.scheduler.start(0));
        runUntil(outage.fromUs);
        for (InstanceClient client : clients) {
            List.copyOf(client.openCalls).forEach(call -> client.endCall(call, DiscoveryCallOutcome.FAILED));
        }
        queue.clear();
        runUntil(durationUs);
        List<Long> withoutLeaseUs = new ArrayList<>();
        List<Long> leasedAfterUs = new ArrayList<>();
        for (InstanceClient client : clients) {
            if (client.lostAtUs < 0 && !client.lease.isValid(durationUs)) {
                client.lostAtUs = client.lease.expiresAtUs();
                client.regainedAtUs = durationUs;
            }
            withoutLeaseUs.add(client.regainedAtUs - client.lostAtUs);
            leasedAfterUs.add(Math.max(0, client.regainedAtUs - outage.untilUs));
        }
        withoutLeaseUs.sort(null);
        leasedAfterUs.sort(null);
        return new OutageCost(withoutLeaseUs, leasedAfterUs);
    }

    private void runUntil(long durationUs) {
        while (true) {
            InstanceClient nextClient = clients.get(0);
            for (InstanceClient client : clients) {
                nextClient = client.scheduler.nextTimerUs() < nextClient.scheduler.nextTimerUs() ? client : nextClient;
            }
            long timerAtUs = nextClient.scheduler.nextTimerUs();
            Event event = events.peek();
            long nextAtUs = event == null ? timerAtUs : Math.min(event.atUs, timerAtUs);
            if (nextAtUs >= durationUs) {
                nowUs = durationUs;
                return;
            }
            nowUs = Math.max(nowUs, nextAtUs);
            if (event != null && event.atUs <= timerAtUs) {
                events.poll().runnable.run();
            } else {
                nextClient.scheduler.onTimer(nowUs);
            }
        }
    }
}

package loadbalancer.faultinjection;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import loadbalancer.faultinjection.DrainOracle.Violation;
import loadbalancer.faultinjection.EndpointListHistory.State;
import loadbalancer.faultinjection.StandInDiscovery.Fault;
import loadbalancer.faultinjection.StandInDiscovery.Withheld;
import loadbalancer.faultinjection.StandInDiscovery.Written;
import loadbalancer.faultinjection.StandInUpstream.Arrival;

/**
 * A scenario with one node, two endpoints of which one begins to drain, clients that send requests continuously, and a
 * discovery whose first calls have the listed faults. Later calls succeed at once, except during an outage.
 *
 * @param name the name in reports
 * @param fleetSize the number of nodes in the settings
 * @param faults the faults of the first calls to discovery, in order
 * @param drainAfterMs when the drain begins: 0 when the node starts, a positive time after the node listens, or a
 *     negative time before the node starts
 * @param move a move of discovery to a new address, or null
 * @param outage the fault of later calls for some time, or null
 */
record DrainScenario(String name, int fleetSize, List<Fault> faults, long drainAfterMs, Move move, Outage outage) {
    /**
     * A move of discovery, of which the node is notified by SIGHUP.
     *
     * @param afterMs the time between the start of listening and the move
     * @param fault the fault of the first call to the new address
     */
    record Move(long afterMs, Fault fault) {}

    /**
     * A time in which all calls after the listed ones have the same fault.
     *
     * @param durationMs the duration from the start of the node
     */
    record Outage(Fault fault, long durationMs) {}

    DrainScenario(String name, int fleetSize, List<Fault> faults, long drainAfterMs) {
        this(name, fleetSize, faults, drainAfterMs, null, null);
    }

    /** Returns a copy of this scenario with an outage of discovery. */
    DrainScenario withOutage(Outage newOutage) {
        return new DrainScenario(name, fleetSize, faults, drainAfterMs, move, newOutage);
    }

    private static final long NANOS_PER_MS = 1_000_000;
    private static final int MAX_PARALLEL_RUNS = 4;
    private static final int CLIENT_COUNT = 3;
    /** The time after the drain for which the node is observed. It ends after the node has to stop sending. */
    private static final long OBSERVATION_MS = 8_000;
    /** The time that a node has to serve again after an outage, plus {@link #RECOVERY_PER_NODE_MS} for each node. */
    private static final long BASE_RECOVERY_MS = 5_000;

    private static final long RECOVERY_PER_NODE_MS = 340;
    /** The period at the end of a run in which a request must have been served, which shows that the node serves again. */
    private static final long FINAL_PERIOD_NANOS = 1_000_000_000;
    /** The time before the start of the node since which discovery counts as reachable, whatever faults its calls have. */
    private static final long REACHABLE_BEFORE_START_NANOS = 60_000_000_000L;

    private static final String DRAINING_ID = "leaving";
    private static final String READY_ID = "staying";

    /** The result of a run. */
    record Outcome(
            DrainScenario scenario, List<Violation> violations, int served, long servedAtEnd, int calls, String log) {
        boolean hasPassed() {
            return violations.isEmpty() && servedAtEnd > 0;
        }

        @Override
        public String toString() {
            return "%s: %d violations, %d served by the other endpoint, %d at the end, %d discovery calls, last %s%n%s"
                    .formatted(
                            scenario,
                            violations.size(),
                            served,
                            servedAtEnd,
                            calls,
                            violations.isEmpty() ? "none" : violations.get(violations.size() - 1),
                            hasPassed() ? "" : log);
        }
    }

    private Fault fault(int call, long startNanos) {
        if (call < faults.size()) {
            return faults.get(call);
        }
        boolean isInOutage = outage != null && System.nanoTime() - startNanos < outage.durationMs * NANOS_PER_MS;
        return isInOutage ? outage.fault : Fault.NONE;
    }

    private Fault faultAfterMove(int call) {
        return call == 0 && move != null ? move.fault() : Fault.NONE;
    }

    /** Runs the scenarios, some in parallel, and returns the outcomes that violate the rule or served nothing at the end. */
    static List<Outcome> runAll(List<DrainScenario> scenarios, Path folder) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(MAX_PARALLEL_RUNS);
        try {
            List<Callable<Outcome>> runs = new ArrayList<>();
            for (DrainScenario scenario : scenarios) {
                Path runFolder = Files.createDirectory(folder.resolve("s" + runs.size()));
                runs.add(() -> scenario.run(runFolder));
            }
            List<Outcome> failed = new ArrayList<>();
            for (Future<Outcome> run : executor.invokeAll(runs)) {
                if (!run.get().hasPassed()) {
                    failed.add(run.get());
                }
            }
            return failed;
        } finally {
            executor.shutdownNow();
        }
    }

    /** Runs the scenario with a new process. */
    Outcome run(Path folder) throws Exception {
        EndpointListHistory history = new EndpointListHistory();
        List<ClosedLoopClient> clients = new ArrayList<>();
        long startNanos = System.nanoTime();
        try (StandInUpstream drainingEndpoint = new StandInUpstream(DRAINING_ID);
                StandInUpstream readyEndpoint = new StandInUpstream(READY_ID);
                StandInDiscovery discovery = new StandInDiscovery(history, call -> fault(call, startNanos));
                StandInDiscovery movedDiscovery = new StandInDiscovery(history, this::faultAfterMove)) {
            history.add(DRAINING_ID, drainingEndpoint.address());
            history.add(READY_ID, readyEndpoint.address());
            String knownList = history.completeList(0, true);
            if (drainAfterMs <= 0) {
                history.change(DRAINING_ID, State.DRAINING, startNanos + drainAfterMs * NANOS_PER_MS);
            }
            try (ProxyProcess node = new ProxyProcess(folder, fleetSize, knownList, discovery.address())) {
                node.awaitListening();
                for (int i = 0; i < CLIENT_COUNT; i++) {
                    clients.add(new ClosedLoopClient("c" + i, node.address()));
                }
                long signalNanos = DrainOracle.NO_SIGNAL;
                long listeningMs = System.currentTimeMillis();
                if (move != null && move.afterMs <= drainAfterMs) {
                    signalNanos = moveAfter(listeningMs, node, discovery, movedDiscovery);
                }
                if (drainAfterMs > 0) {
                    sleepUntil(listeningMs + drainAfterMs);
                    history.change(DRAINING_ID, State.DRAINING);
                }
                if (move != null && signalNanos == DrainOracle.NO_SIGNAL) {
                    signalNanos = moveAfter(listeningMs, node, discovery, movedDiscovery);
                }
                long outageLeftMs =
                        outage == null ? 0 : outage.durationMs - (System.nanoTime() - startNanos) / NANOS_PER_MS;
                Thread.sleep(
                        Math.max(OBSERVATION_MS, outageLeftMs + BASE_RECOVERY_MS + fleetSize * RECOVERY_PER_NODE_MS));
                long endNanos = System.nanoTime();
                clients.forEach(ClosedLoopClient::close);
                List<Written> written = new ArrayList<>(discovery.written());
                written.addAll(movedDiscovery.written());
                List<Withheld> withheld = new ArrayList<>(discovery.withheld());
                withheld.addAll(movedDiscovery.withheld());
                List<Violation> violations = new DrainOracle(
                                startNanos - REACHABLE_BEFORE_START_NANOS,
                                signalNanos,
                                history.changes(),
                                written,
                                withheld)
                        .findViolations(drainingEndpoint.arrivals());
                int calls = discovery.calls() + movedDiscovery.calls();
                List<Arrival> served = readyEndpoint.arrivals();
                long servedAtEnd = served.stream()
                        .filter(each -> endNanos - each.firstByteNanos() < FINAL_PERIOD_NANOS)
                        .count();
                return new Outcome(this, violations, served.size(), servedAtEnd, calls, node.log());
            }
        }
    }

    /** Moves discovery and returns the time of the SIGHUP. The old address then closes its watches and accepts no calls. */
    private long moveAfter(long listeningMs, ProxyProcess node, StandInDiscovery from, StandInDiscovery to)
            throws Exception {
        sleepUntil(listeningMs + move.afterMs);
        node.configure(to.address());
        long signalNanos = System.nanoTime();
        node.signal("HUP");
        from.close();
        return signalNanos;
    }

    private static void sleepUntil(long wakeUpAtMs) throws InterruptedException {
        Thread.sleep(Math.max(0, wakeUpAtMs - System.currentTimeMillis()));
    }
}

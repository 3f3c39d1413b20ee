package kitemux.fault;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import kitemux.fault.DiscoveryStandIn.Fault;
import kitemux.fault.DrainOracle.Violation;
import kitemux.fault.ServerListHistory.State;

/**
 * One node, two servers of which one begins to drain, clients that keep asking, and a discovery whose first calls
 * meet the faults of a list; all later ones are answered at once.
 *
 * @param name for reports
 * @param nodes the size of the fleet that the settings tell
 * @param faults what the first calls meet
 * @param drainAfterMs when the drain is made: 0 for before the node starts, else so long after it listens
 */
record DrainScenario(String name, int nodes, List<Fault> faults, long drainAfterMs) {
    private static final int CLIENTS = 3;
    /** Until after the drain the node may send no more, and some more to see that. */
    private static final long WATCHED_MS = 8_000;

    private static final String LEAVING = "leaving";
    private static final String STAYING = "staying";

    /** What a run has shown. */
    record Outcome(DrainScenario scenario, List<Violation> violations, int served, int calls, String log) {
        boolean isKept() {
            return violations.isEmpty() && served > 0;
        }

        @Override
        public String toString() {
            return "%s: %d late of %d served, %d calls, worst %s%n%s"
                    .formatted(
                            scenario,
                            violations.size(),
                            served,
                            calls,
                            violations.isEmpty() ? "none" : violations.get(violations.size() - 1),
                            violations.isEmpty() ? "" : log);
        }
    }

    private Fault fault(int call) {
        return call < faults.size() ? faults.get(call) : Fault.NONE;
    }

    /** Plays it on a process of its own. */
    Outcome play(Path folder) throws Exception {
        ServerListHistory history = new ServerListHistory();
        List<ClientLoop> clients = new ArrayList<>();
        try (AppServerStandIn leaving = new AppServerStandIn(LEAVING);
                AppServerStandIn staying = new AppServerStandIn(STAYING);
                DiscoveryStandIn discovery = new DiscoveryStandIn(history, this::fault)) {
            history.add(LEAVING, leaving.endpoint());
            history.add(STAYING, staying.endpoint());
            String known = history.whole(0, true);
            if (drainAfterMs == 0) {
                history.change(LEAVING, State.DRAINING);
            }
            long startNanos = System.nanoTime();
            try (NodeProcess node = new NodeProcess(folder, nodes, known, discovery.endpoint())) {
                node.awaitListening();
                for (int i = 0; i < CLIENTS; i++) {
                    clients.add(new ClientLoop("c" + i, node.address()));
                }
                if (drainAfterMs > 0) {
                    Thread.sleep(drainAfterMs);
                    history.change(LEAVING, State.DRAINING);
                }
                Thread.sleep(WATCHED_MS);
                clients.forEach(ClientLoop::close);
                List<Violation> violations =
                        new DrainOracle(startNanos, history.changes(), discovery.written()).judge(leaving.arrivals());
                return new Outcome(this, violations, staying.arrivals().size(), discovery.calls(), node.log());
            }
        }
    }
}

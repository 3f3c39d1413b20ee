package kitemux.fault;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import kitemux.fault.DiscoveryStandIn.Fault;
import kitemux.fault.DrainScenario.Outage;

/**
 * A process must not route by a server list that may be out of date.
 *
 * <p>What users saw: requests reached servers up to one second after the grace of their drain, at a time when seven in
 * ten nodes had been killed and discovery had more callers than it could serve.
 *
 * <p>The order of events: a watch falls silent or ends; two servers begin to drain 1.8 and 3.3 s later; each further
 * call of the node waits for its turn and is refused; 6 s after the watch's last word both drains count as notified,
 * and 0.95 s after that the node still sends to both. A process that is killed and started anew does the same with
 * the list of its configuration, for as long as discovery does not answer it.
 *
 * <p>The cause: nothing bounded how long a list may be used. Calls to discovery were made in time, but what they met
 * was not heeded, and with each of them refused the node went on with what it had.
 *
 * <p>The evidence: both drains, made 1.5 s apart, count as notified at the same moment, so it is the silence that they
 * have in common and not the age of each. In the log of a node of the replay, thirteen seconds pass between its start
 * with a list of version 0 and its first list, of version 20, while it ejects drained servers for their failures.
 */
class StaleServerListTest {
    private static final long OLD_MS = -7_000;
    private static final long DRAIN_AFTER_MS = 500;
    /** From the start of a process. */
    private static final long OUTAGE_MS = 6_000;
    /** The same where a process serves for a while before it begins to fail: past the drain's grace. */
    private static final long LONG_OUTAGE_MS = 12_000;

    private static final List<Fault> FAILURES =
            List.of(Fault.BUSY, Fault.SILENT, Fault.HEAD_ONLY, Fault.RESET, Fault.BUSY_AFTER_TURN);
    private static final int[] FLEETS = {4, 30, 31, 5, 120};

    private static int fleet(int index) {
        return FLEETS[index % FLEETS.length];
    }

    @Test
    @Timeout(120)
    void aRestartedProcessDoesNotRouteByTheListThatItKnew(@TempDir Path folder) throws Exception {
        List<DrainScenario> scenarios = new ArrayList<>();
        for (Fault failure : FAILURES) {
            int nodes = fleet(scenarios.size());
            scenarios.add(new DrainScenario("restart, " + failure, nodes, List.of(), OLD_MS)
                    .with(new Outage(failure, OUTAGE_MS)));
        }
        assertEquals(List.of(), DrainScenario.playAll(scenarios, folder));
    }

    @Test
    @Timeout(180)
    void aProcessWhoseCallsFailStopsRoutingBeforeADrainThatItMissesBinds(@TempDir Path folder) throws Exception {
        List<DrainScenario> scenarios = new ArrayList<>();
        for (Fault watchEnd : List.of(Fault.FALLS_SILENT, Fault.ENDS_AT_CHANGE)) {
            for (Fault failure : FAILURES) {
                int nodes = fleet(scenarios.size());
                scenarios.add(new DrainScenario(watchEnd + ", " + failure, nodes, List.of(watchEnd), DRAIN_AFTER_MS)
                        .with(new Outage(failure, LONG_OUTAGE_MS)));
            }
        }
        assertEquals(List.of(), DrainScenario.playAll(scenarios, folder));
    }
}

package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import java.util.List;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import loadbalancer.faultinjection.DrainScenario.Outage;
import loadbalancer.faultinjection.DrainScenario.Outcome;
import loadbalancer.faultinjection.StandInDiscovery.Fault;

/**
 * Tests nodes whose calls to discovery fail while an endpoint drains. No node may send requests to the endpoint after the
 * grace, however late the node learns of the drain.
 */
class DrainNotificationTest {
    /** Calls that hang, are refused, are queued, or end without sending the change, as in the records of incident-1. */
    private static final List<DrainScenario> SCENARIOS = List.of(
            new DrainScenario("two calls hang", 4, List.of(Fault.SILENT, Fault.SILENT), 0),
            new DrainScenario("a refused, a hanging call", 17, List.of(Fault.BUSY, Fault.SILENT, Fault.QUEUED), 0),
            new DrainScenario("two refused, one waits", 17, List.of(Fault.BUSY, Fault.BUSY, Fault.QUEUED), 0),
            new DrainScenario("heads only", 5, List.of(Fault.HEAD_ONLY, Fault.HEAD_ONLY), 0),
            new DrainScenario("ends at change", 6, List.of(Fault.ENDS_AT_CHANGE, Fault.SILENT, Fault.QUEUED), 500),
            new DrainScenario("falls silent", 6, List.of(Fault.FALLS_SILENT, Fault.SILENT), 500),
            new DrainScenario(
                    "a list cut short", 6, List.of(Fault.TRUNCATED_LIST, Fault.SILENT, Fault.OMITS_DRAINING), 0));

    private static final DrainScenario LARGE_FLEET = new DrainScenario(
                    "large fleet", 120, List.of(Fault.SILENT, Fault.RESET, Fault.BUSY_LATE), 0)
            .withOutage(new Outage(Fault.NONE, 1));

    @Test
    @Timeout(60)
    void noRequestReachesADrainingEndpointAfterTheGraceInALargeFleet(@TempDir Path folder) throws Exception {
        Outcome outcome = LARGE_FLEET.run(folder);
        assertTrue(outcome.hasPassed(), outcome.toString());
    }

    @Test
    @Timeout(120)
    void noRequestReachesADrainingEndpointAfterTheGraceDespiteDiscoveryFaults(@TempDir Path folder) throws Exception {
        assertEquals(List.of(), DrainScenario.runAll(SCENARIOS, folder));
    }
}

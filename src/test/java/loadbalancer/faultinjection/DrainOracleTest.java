package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.faultinjection.EndpointListHistory.Change;
import loadbalancer.faultinjection.EndpointListHistory.State;
import loadbalancer.faultinjection.StandInDiscovery.Withheld;
import loadbalancer.faultinjection.StandInDiscovery.Written;
import loadbalancer.faultinjection.StandInUpstream.Arrival;

/** Tests that the oracle finds countViolations of the drain rule and accepts requests that the rule allows. */
class DrainOracleTest {
    private static final long MS = 1_000_000;
    private static final List<Change> DRAIN_AT_1_S = List.of(new Change("s", State.DRAINING, 1_000 * MS));

    private static int countViolations(
            List<Change> changes, long reachableFromMs, List<Written> written, long... arrivalsMs) {
        List<Arrival> arrivals = new ArrayList<>();
        for (long arrivalMs : arrivalsMs) {
            arrivals.add(new Arrival("s", "r" + arrivalMs, arrivalMs * MS));
        }
        return new DrainOracle(reachableFromMs * MS, DrainOracle.NO_SIGNAL, changes, written, List.of())
                .findViolations(arrivals)
                .size();
    }

    @Test
    void writtenChangeIsNotifiedAtOnce() {
        List<Written> written = List.of(new Written(0, 100 * MS), new Written(1, 2_000 * MS));
        assertEquals(0, countViolations(DRAIN_AT_1_S, 0, written, 500, 1_500, 2_549));
        assertEquals(2, countViolations(DRAIN_AT_1_S, 0, written, 2_551, 9_000));
    }

    @Test
    void unwrittenChangeIsNotifiedSixSecondsAfterDiscoveryHasItAndIsReachable() {
        assertEquals(0, countViolations(DRAIN_AT_1_S, 0, List.of(), 7_549));
        assertEquals(1, countViolations(DRAIN_AT_1_S, 0, List.of(), 7_551));
        assertEquals(0, countViolations(DRAIN_AT_1_S, 3_000, List.of(), 9_549));
        assertEquals(1, countViolations(DRAIN_AT_1_S, 3_000, List.of(), 9_551));
    }

    @Test
    void changeWithheldByAWatchIsNotifiedTwoSecondsAfterTheWatchEnds() {
        List<Withheld> withheld = List.of(new Withheld(1, 1_500 * MS));
        DrainOracle oracle = new DrainOracle(0, DrainOracle.NO_SIGNAL, DRAIN_AT_1_S, List.of(), withheld);
        assertEquals(
                0,
                oracle.findViolations(List.of(new Arrival("s", "r", 4_049 * MS)))
                        .size());
        assertEquals(
                1,
                oracle.findViolations(List.of(new Arrival("s", "r", 4_051 * MS)))
                        .size());
    }

    @Test
    void endpointMayBeUsedOnceReadyAgainButNotIfRemovedAfterItsDrain() {
        List<Change> readyAgain =
                List.of(new Change("s", State.DRAINING, 1_000 * MS), new Change("s", State.READY, 3_000 * MS));
        assertEquals(0, countViolations(readyAgain, 0, List.of(new Written(2, 3_000 * MS)), 3_100, 20_000));
        List<Change> removed =
                List.of(new Change("s", State.DRAINING, 1_000 * MS), new Change("s", State.GONE, 7_000 * MS));
        assertEquals(1, countViolations(removed, 0, List.of(), 7_600));
        assertEquals(0, countViolations(removed, 0, List.of(), 7_500));
    }

    @Test
    void requestsToOtherEndpointsAreNoViolations() {
        Arrival other = new Arrival("t", "r", 60_000 * MS);
        assertEquals(
                List.of(),
                new DrainOracle(0, DrainOracle.NO_SIGNAL, DRAIN_AT_1_S, List.of(), List.of())
                        .findViolations(List.of(other)));
    }

    @Test
    void changeIsNotifiedFourSecondsAfterASignalThatMovesDiscovery() {
        DrainOracle oracle = new DrainOracle(0, 2_000 * MS, DRAIN_AT_1_S, List.of(), List.of());
        assertEquals(
                0,
                oracle.findViolations(List.of(new Arrival("s", "r", 6_549 * MS)))
                        .size());
        assertEquals(
                1,
                oracle.findViolations(List.of(new Arrival("s", "r", 6_551 * MS)))
                        .size());
    }
}

package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

import loadbalancer.faultinjection.DrainScenario.Move;
import loadbalancer.faultinjection.DrainScenario.Outcome;
import loadbalancer.faultinjection.StandInDiscovery.Fault;

/**
 * Tests random scenarios, each from a seed: fleets of 1 to 30 nodes, up to two faults in succession, drains at and after
 * the start of the node, and moves of discovery. The system properties {@code soak.first} and {@code soak.count} select
 * the first seed and the number of seeds.
 */
class DrainSoakTest {
    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEED_COUNT = Integer.getInteger("soak.count", 12);

    private static final int MAX_FLEET_SIZE = 30;
    private static final int MAX_FAULTS = 2;
    private static final long MAX_DELAY_MS = 3_000;

    static DrainScenario scenario(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        Fault[] all = Fault.values();
        List<Fault> faults = new ArrayList<>();
        int count = random.nextInt(MAX_FAULTS + 1);
        for (int i = 0; i < count; i++) {
            faults.add(all[random.nextInt(all.length)]);
        }
        int fleetSize = 1 + random.nextInt(MAX_FLEET_SIZE);
        long drainAfterMs = random.nextBoolean() ? 0 : 1 + random.nextLong(MAX_DELAY_MS);
        Move move =
                random.nextInt(3) > 0 ? null : new Move(random.nextLong(MAX_DELAY_MS), all[random.nextInt(all.length)]);
        return new DrainScenario("seed " + seed, fleetSize, faults, drainAfterMs, move, null);
    }

    @Test
    @Timeout(1_200)
    void noRequestReachesADrainingEndpointAfterTheGraceForAnySeed(@TempDir Path folder) throws Exception {
        List<DrainScenario> scenarios = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
            scenarios.add(scenario(seed));
        }
        List<Outcome> failed = DrainScenario.runAll(scenarios, folder);
        assertEquals(List.of(), failed);
        System.out.println(SEED_COUNT + " seeds from " + FIRST_SEED + " passed");
    }
}

package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests random scenarios with clients that disconnect, each from a seed. The system properties {@code soak.first} and
 * {@code soak.count} select the first seed and the number of seeds.
 */
class DisconnectSoakTest {
    private static final int FIRST_SEED = Integer.getInteger("soak.first", 1);
    private static final int SEED_COUNT = Integer.getInteger("soak.count", 8);
    private static final int MAX_PARALLEL_RUNS = 2;

    @Test
    @Timeout(1_200)
    void clientsThatDisconnectBreakNoRuleForAnySeed(@TempDir Path folder) throws Exception {
        ExecutorService executor = Executors.newFixedThreadPool(MAX_PARALLEL_RUNS);
        try {
            List<Callable<List<String>>> runs = new ArrayList<>();
            for (long seed = FIRST_SEED; seed < FIRST_SEED + SEED_COUNT; seed++) {
                Path runFolder = Files.createDirectory(folder.resolve("s" + seed));
                DisconnectScenario scenario = new DisconnectScenario(seed);
                runs.add(() -> scenario.play(runFolder));
            }
            List<String> violations = new ArrayList<>();
            for (Future<List<String>> run : executor.invokeAll(runs)) {
                violations.addAll(run.get());
            }
            assertEquals(List.of(), violations);
        } finally {
            executor.shutdownNow();
        }
        System.out.println(SEED_COUNT + " seeds from " + FIRST_SEED + " passed");
    }
}

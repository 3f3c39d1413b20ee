package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.zip.CRC32;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Guards against unintended changes of behavior: compares a digest of all actions that the decision module takes during
 * thousands of random events with a recorded digest. A commit that changes only the structure of the module keeps all
 * digests; a commit that changes its behavior records new ones and says so.
 */
class ActionDigestTest {
    private static final int EVENTS = 4_000;
    private static final int ENDPOINTS = 60;
    private static final AttemptResult[] RESULTS = {
        AttemptResult.OK,
        AttemptResult.OK,
        AttemptResult.OK,
        AttemptResult.OK,
        AttemptResult.OK,
        AttemptResult.ERROR,
        AttemptResult.REJECTED,
        AttemptResult.TIMEOUT,
        AttemptResult.CONNECT_FAILED,
        AttemptResult.RESET
    };

    @ParameterizedTest
    @CsvSource({
        "1, 1, false, 584761131",
        "2, 1, true, 2941644789",
        "3, 6, false, 2993289327",
        "4, 6, true, 2343439983",
        "5, 120, false, 4205597958",
        "6, 120, true, 38130741"
    })
    void actionsMatchTheRecordedDigest(long seed, int instances, boolean endpointsCacheKeys, long recordedDigest) {
        assertEquals(recordedDigest, digest(seed, instances, endpointsCacheKeys));
    }

    private static LoadBalancerSettings settings(int instances, boolean endpointsCacheKeys) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.instances = instances;
        settings.instanceIndex = instances / 2;
        settings.endpointsCacheKeys = endpointsCacheKeys;
        settings.crossZoneCost = 0.1;
        settings.endpointListPolled = true;
        settings.overQuotaPriorityFactor = 0.2;
        settings.tenants.clear();
        settings.tenants.add(new Tenant("large", 20 * instances));
        settings.tenants.add(new Tenant("small", 5 * instances));
        return settings;
    }

    private static EndpointListEntry entry(SplittableRandom random, int number, long nowUs) {
        EndpointState state = random.nextInt(5) == 0 ? EndpointState.DRAINING : EndpointState.READY;
        long startedAtUs = random.nextInt(4) == 0 ? nowUs - random.nextLong(10_000_000) : 0;
        return new EndpointListEntry("server-" + number, number % 2, number / 8, state, 1, startedAtUs);
    }

    private static long digest(long seed, int instances, boolean endpointsCacheKeys) {
        SplittableRandom random = new SplittableRandom(seed);
        LoadBalancerFixture instance = new LoadBalancerFixture(settings(instances, endpointsCacheKeys), seed);
        instance.nowUs = 100_000_000;
        List<EndpointListEntry> entries = new ArrayList<>();
        for (int i = 0; i < ENDPOINTS; i++) {
            entries.add(entry(random, i, instance.nowUs));
        }
        instance.receiveEndpointList(EndpointListKind.CACHED, entries);
        int endedAttempts = 0;
        for (int i = 0; i < EVENTS; i++) {
            switch (random.nextInt(12)) {
                case 0 ->
                    instance.receiveEndpointList(
                            EndpointListKind.CHANGES,
                            List.of(entry(random, random.nextInt(ENDPOINTS), instance.nowUs)));
                case 1 -> instance.advance(random.nextLong(20_000));
                case 2, 3, 4, 5, 6 -> sendRequest(instance, random, i + 1);
                default -> {
                    if (endedAttempts < instance.startedAttempts.size()) {
                        endAttempt(instance, random, instance.startedAttempts.get(endedAttempts++));
                    }
                }
            }
        }
        return crc(instance);
    }

    private static void sendRequest(LoadBalancerFixture instance, SplittableRandom random, long id) {
        instance.loadBalancer.onRequest(
                instance.nowUs,
                new Request(
                        id,
                        random.nextInt(5),
                        random.nextInt(3) - 1,
                        200_000 + random.nextLong(800_000),
                        0,
                        false,
                        "key-" + random.nextInt(40)));
        instance.advance(random.nextLong(10_000));
    }

    private static void endAttempt(
            LoadBalancerFixture instance, SplittableRandom random, LoadBalancerFixture.StartedAttempt attempt) {
        AttemptResult result = RESULTS[random.nextInt(RESULTS.length)];
        instance.loadBalancer.onAttemptOutcome(
                instance.nowUs,
                new AttemptOutcome(
                        attempt.requestId(),
                        attempt.number(),
                        result,
                        instance.nowUs - attempt.startedAtUs(),
                        result == AttemptResult.OK,
                        null));
    }

    /** Formats attempts as in the text of which the digests were recorded. Its labels must not change with the code. */
    private static String format(List<LoadBalancerFixture.StartedAttempt> attempts) {
        return attempts.stream()
                .map(attempt -> "Sent[atUs=" + attempt.startedAtUs() + ", request=" + attempt.requestId() + ", attempt="
                        + attempt.number() + ", server=" + attempt.endpointId() + ", untilUs=" + attempt.deadlineUs()
                        + "]")
                .collect(Collectors.joining(", ", "[", "]"));
    }

    private static long crc(LoadBalancerFixture instance) {
        CRC32 crc = new CRC32();
        String actions = format(instance.startedAttempts) + "\n" + instance.rejected + "\n" + instance.failed + "\n"
                + instance.cancelled + "\n" + instance.closedEndpoints + "\n" + instance.watchCount;
        crc.update(actions.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}

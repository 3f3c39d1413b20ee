package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.SplittableRandom;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Tests for slow start in a fleet, whose instances together use the budget of a warming endpoint and do not exceed it.
 */
class FleetSlowStartTest {
    /** Id of the endpoint that is warming up; the hash of the id determines its keys and the instances that use it. */
    private static final String WARMING = "cold";

    private static final double QUOTA_PER_SECOND = 330;
    private static final int READY_ENDPOINTS = 10;
    private static final long START_US = 60_000_000;
    private static final long END_US = START_US + 10_000_000;

    private static EndpointListEntry endpointStartedAt(String id, long atUs) {
        return new EndpointListEntry(id, 0, 0, EndpointState.READY, 1, atUs);
    }

    /** All instances learn of the start at the same time. Guards against first attempts that are sent all at once. */
    @Test
    void firstAttemptsOfManyInstancesAreSpreadOverTime() {
        int instancesWithAttempt = 0;
        for (int index = 0; index < 40; index++) {
            LoadBalancerSettings settings = LoadBalancerFixture.settings();
            settings.instances = 24;
            settings.instanceIndex = index % 24;
            LoadBalancerFixture instance = new LoadBalancerFixture(settings, 300 + index).withEndpoints(10);
            for (int i = 0; i < 200; i++) {
                instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 20_000);
            }
            instance.receiveEndpointList(EndpointListKind.CHANGES, List.of(endpointStartedAt(WARMING, instance.nowUs)));
            for (int i = 0; i < 15; i++) {
                instance.sendAndComplete(LoadBalancerFixture.IDEMPOTENT, AttemptResult.OK, 20_000);
            }
            instancesWithAttempt += instance.attemptCountAt(WARMING) > 0 ? 1 : 0;
        }
        // The slow start interval is about two seconds: about a sixth of the instances make an attempt within 0.3 s.
        assertTrue(instancesWithAttempt <= 14, "instances with an attempt in 0.3 s: " + instancesWithAttempt);
    }

    /** One instance of a fleet with random traffic; instances with an odd index restart during slow start. */
    private static final class FleetMember {
        private final LoadBalancerSettings settings;
        private final List<EndpointListEntry> entries = new ArrayList<>();
        private final SplittableRandom random;
        private final List<Long> warmingAttemptTimesUs = new ArrayList<>();
        private LoadBalancerFixture instance;
        private boolean notified;
        private boolean restarted;

        FleetMember(LoadBalancerSettings settings) {
            this.settings = settings;
            random = new SplittableRandom(settings.instanceIndex);
            restarted = settings.instanceIndex % 2 == 0;
            for (int i = 0; i < READY_ENDPOINTS; i++) {
                entries.add(LoadBalancerFixture.readyEndpoint("s" + i));
            }
            instance = new LoadBalancerFixture(settings, 500 + settings.instanceIndex)
                    .receiveEndpointList(EndpointListKind.CACHED, entries);
            instance.nowUs = START_US - 5_000_000;
            entries.add(endpointStartedAt(WARMING, START_US));
        }

        /** Sends random traffic until the end and returns the start times of attempts at the warming endpoint. */
        List<Long> run(double requestsPerSecond) {
            while (instance.nowUs < END_US) {
                instance.advance((long) (random.nextDouble() * 2e6 / requestsPerSecond));
                if (!notified && instance.nowUs >= START_US) {
                    notified = true;
                    instance.receiveEndpointList(
                            EndpointListKind.CHANGES, entries.subList(READY_ENDPOINTS, READY_ENDPOINTS + 1));
                }
                if (!restarted && instance.nowUs >= START_US + 3_000_000) {
                    restarted = true;
                    restart();
                }
                sendRequest();
            }
            return warmingAttemptTimesUs;
        }

        private void restart() {
            long nowUs = instance.nowUs;
            instance = new LoadBalancerFixture(settings, 900 + settings.instanceIndex);
            instance.nowUs = nowUs;
            instance.receiveEndpointList(EndpointListKind.CACHED, entries);
        }

        private void sendRequest() {
            int before = instance.startedAttempts.size();
            instance.sendRequestWithKey("k" + random.nextInt(400), random.nextInt(5));
            // Some attempts fail, so that retries are counted too.
            for (int i = before; i < instance.startedAttempts.size(); i++) {
                LoadBalancerFixture.StartedAttempt attempt = instance.startedAttempts.get(i);
                if (attempt.endpointId().equals(WARMING)) {
                    warmingAttemptTimesUs.add(attempt.startedAtUs());
                }
                AttemptResult result = random.nextInt(10) == 0 ? AttemptResult.CONNECT_FAILED : AttemptResult.OK;
                instance.completeLastAttempt(attempt.requestId(), result, 1_000);
            }
        }
    }

    @ParameterizedTest
    @CsvSource({
        "2, 0.3, false",
        "2, 1, false",
        "2, 3, false",
        "2, 1, true",
        "2, 3, true",
        "5, 0.3, false",
        "5, 1, false",
        "5, 3, false",
        "5, 1, true",
        "5, 3, true",
        "30, 0.3, false",
        "30, 1, false",
        "30, 3, false",
        "30, 0.3, true",
        "30, 1, true",
        "30, 3, true",
        "120, 0.3, false",
        "120, 1, false",
        "120, 3, false",
        "120, 1, true",
        "120, 3, true",
    })
    void attemptsOfAllInstancesStayWithinTheBudgetOfAWarmingEndpoint(
            int instances, double load, boolean endpointsCacheKeys) {
        List<Long> attemptsAtUs = new ArrayList<>();
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        for (int index = 0; index < instances; index++) {
            settings = LoadBalancerFixture.settings();
            settings.instances = instances;
            settings.instanceIndex = index;
            settings.tenants.set(0, new Tenant("tenant", QUOTA_PER_SECOND));
            settings.endpointsCacheKeys = endpointsCacheKeys;
            // Traffic is uneven: some instances get several times the mean rate.
            double requestsPerSecond = load * QUOTA_PER_SECOND / instances * (index % 6 == 0 ? 3.5 : 0.5);
            attemptsAtUs.addAll(new FleetMember(settings).run(requestsPerSecond));
        }
        Collections.sort(attemptsAtUs);
        assertTrue(attemptsAtUs.size() > 5, "attempts at the warming endpoint: " + attemptsAtUs.size());
        assertWithinBudget(attemptsAtUs, settings);
    }

    /** Checks each overload window, with a margin of two standard deviations and two attempts for random variation. */
    private static void assertWithinBudget(List<Long> attemptsAtUs, LoadBalancerSettings settings) {
        for (int from = 0, to = 0; from < attemptsAtUs.size(); from++) {
            long fromUs = attemptsAtUs.get(from);
            while (to < attemptsAtUs.size() && attemptsAtUs.get(to) < fromUs + settings.overloadWindowUs) {
                to++;
            }
            double progress = (fromUs - START_US) / (double) settings.slowStartUs;
            double capacityShare = settings.initialCapacityShare + (1 - settings.initialCapacityShare) * progress;
            double capacity = QUOTA_PER_SECOND / (READY_ENDPOINTS + 1) * capacityShare;
            double budget = settings.overloadFactor * capacity * settings.overloadWindowUs / 1e6;
            assertTrue(
                    to - from <= budget + 2 * Math.sqrt(budget) + 2,
                    (to - from) + " attempts in the window from " + (fromUs - START_US) / 1e6 + " s, budget " + budget);
        }
    }

    /** After a rollout most endpoints are warming up: requests that are not sent to them find no other endpoints. */
    @Test
    void instancesUseTheCapacityOfEndpointsThatAreAllWarmingUp() {
        int instances = 14;
        int attempts = 0;
        for (int index = 0; index < instances; index++) {
            LoadBalancerSettings settings = LoadBalancerFixture.settings();
            settings.instances = instances;
            settings.instanceIndex = index;
            settings.tenants.set(0, new Tenant("tenant", 840));
            settings.endpointsCacheKeys = true;
            LoadBalancerFixture instance = new LoadBalancerFixture(settings, 70 + index);
            instance.nowUs = 60_000_000;
            instance.receiveEndpointList(EndpointListKind.CACHED, warmingEndpoints(instance.nowUs - 5_000_000));
            int completed = 0;
            for (int i = 0; i < 500; i++) {
                instance.sendRequestWithKey("k" + i, LoadBalancerFixture.IDEMPOTENT);
                instance.advance(16_000);
                for (int last = instance.startedAttempts.size(); completed < last; completed++) {
                    instance.completeLastAttempt(
                            instance.startedAttempts.get(completed).requestId(), AttemptResult.OK, 0);
                }
                attempts += i == 249 ? -completed : i == 499 ? completed : 0;
            }
        }
        // More than a third of slow start has passed: the endpoints' capacity is about half of 840 per second, and at
        // most three times that may be sent.
        double attemptsPerSecond = attempts / (250 * 0.016);
        assertTrue(
                attemptsPerSecond > 0.2 * 840 && attemptsPerSecond < 0.5 * 840 * 3,
                "attempts per second: " + attemptsPerSecond);
    }

    private static List<EndpointListEntry> warmingEndpoints(long startedAtUs) {
        List<EndpointListEntry> entries = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            entries.add(endpointStartedAt("c" + i, startedAtUs));
        }
        return entries;
    }
}

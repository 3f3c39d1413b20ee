package loadbalancer.policy;

import java.util.SplittableRandom;

/** Random settings for an instance. */
final class RandomSettings {
    private RandomSettings() {}

    /** Returns the settings of {@link LoadBalancerFixture} with random values where the rules depend on them. */
    static LoadBalancerSettings draw(SplittableRandom random) {
        LoadBalancerSettings settings = LoadBalancerFixture.settings();
        settings.classes.replaceAll(requestClass -> new RequestClass(
                requestClass.name(),
                requestClass.latencyObjectiveUs(),
                0,
                requestClass.deadlineUs(),
                requestClass.priorityWeight(),
                random.nextInt(2) * 0.5,
                requestClass.idempotency(),
                requestClass.deduplicationScope(),
                80_000,
                false));
        settings.instances = 1 + random.nextInt(5);
        settings.maxAttempts = 1 + random.nextInt(5);
        settings.cancellationEnabled = random.nextBoolean();
        settings.hedgingEnabled = random.nextBoolean();
        settings.endpointListPolled = random.nextBoolean();
        settings.crossZoneCost = random.nextBoolean() ? 0.02 : 0;
        settings.eventIntervalUs = 1_000L * (1 + random.nextInt(5));
        settings.drainGraceUs = 0;
        settings.slowStartUs = 8_000_000;
        settings.initialCapacityShare = 0.2;
        settings.endpointsCacheKeys = random.nextBoolean();
        return settings;
    }
}

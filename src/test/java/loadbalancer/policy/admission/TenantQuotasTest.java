package loadbalancer.policy.admission;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.Tenant;

/** Tests the token buckets of {@link TenantQuotas}. */
class TenantQuotasTest {
    private static final long NOW_US = 5_000_000;

    private static TenantQuotas quotas(double quotaPerSecond, int instances) {
        return new TenantQuotas(List.of(new Tenant("tenant", quotaPerSecond)), instances);
    }

    /** Consumes as much of the quota as a hundred requests at once can, and returns how many are within the quota. */
    private static int consumeAll(TenantQuotas quotas, long nowUs) {
        int consumed = 0;
        for (int i = 0; i < 100; i++) {
            consumed += quotas.tryConsume(0, nowUs) ? 1 : 0;
        }
        return consumed;
    }

    @Test
    void anInstanceMayUseItsShareOfOneSecondAtOnce() {
        assertEquals(20, consumeAll(quotas(200, 10), NOW_US));
    }

    @Test
    void theQuotaIsRefilledInProportionToTheTime() {
        TenantQuotas quotas = quotas(200, 10);
        consumeAll(quotas, NOW_US);
        assertFalse(quotas.tryConsume(0, NOW_US + 49_000));
        assertTrue(quotas.tryConsume(0, NOW_US + 51_000));
        assertFalse(quotas.tryConsume(0, NOW_US + 51_000));
    }

    @Test
    void noMoreThanTheQuotaOfOneSecondAccumulates() {
        TenantQuotas quotas = quotas(200, 10);
        consumeAll(quotas, NOW_US);
        assertEquals(20, consumeAll(quotas, NOW_US + 60_000_000));
    }

    @Test
    void smallQuotasAllowBurstsOfEight() {
        TenantQuotas quotas = quotas(1, 1);
        assertEquals(1, consumeAll(quotas, NOW_US));
        assertEquals(8, consumeAll(quotas, NOW_US + 60_000_000));
    }

    @Test
    void requestsWithoutTenantOrQuotaAreNotLimited() {
        TenantQuotas quotas = quotas(0, 1);
        assertEquals(100, consumeAll(quotas, NOW_US));
        assertTrue(quotas.tryConsume(-1, NOW_US));
    }

    @Test
    void tenantsHaveSeparateQuotas() {
        TenantQuotas quotas = new TenantQuotas(List.of(new Tenant("first", 10), new Tenant("second", 10)), 1);
        consumeAll(quotas, NOW_US);
        assertTrue(quotas.tryConsume(1, NOW_US));
    }
}

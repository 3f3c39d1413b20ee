package loadbalancer.policy;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import loadbalancer.policy.log.PolicyEvent;

/** Tests a minimal use of the decision module: one endpoint and one request whose first attempt succeeds. */
class MinimalUsageTest {

    /** A caller of the decision module that only records the actions. */
    static final class Proxy implements LoadBalancerActions {
        final List<String> actions = new ArrayList<>();

        @Override
        public void startAttempt(long requestId, String endpointId, long deadlineUs) {
            actions.add("send " + requestId + " to " + endpointId);
        }

        @Override
        public void cancelAttempt(long requestId, int attemptNumber) {
            actions.add("cancel " + requestId + "/" + attemptNumber);
        }

        @Override
        public void reject(long requestId, long retryAfterUs) {
            actions.add("reject " + requestId);
        }

        @Override
        public void fail(long requestId) {
            actions.add("fail " + requestId);
        }

        @Override
        public void setTimer(long atUs) {}

        @Override
        public void closeIdleConnections(String endpointId) {}

        @Override
        public void watchEndpointList() {}

        @Override
        public void record(PolicyEvent event) {}
    }

    @Test
    void aRequestIsSentAndServed() {
        LoadBalancerSettings settings = new LoadBalancerSettings();
        settings.classes.add(new RequestClass(
                "page", 200_000, 0, 1_000_000, 1, 0, Idempotency.IDEMPOTENT, DeduplicationScope.ALL, 0, false));
        Proxy proxy = new Proxy();
        LoadBalancer loadBalancer = new ServiceQLoadBalancer(settings, 42, proxy);
        long nowUs = 0;
        loadBalancer.onEndpointList(
                nowUs,
                EndpointListKind.CACHED,
                List.of(new EndpointListEntry("10.0.0.1:80", 0, 0, EndpointState.READY, 1, 0)));
        loadBalancer.onRequest(nowUs, new Request(1, 0, -1, 1_000_000, 0, false, null));
        assertEquals(List.of("send 1 to 10.0.0.1:80"), proxy.actions);
        nowUs += 20_000;
        loadBalancer.onAttemptOutcome(nowUs, new AttemptOutcome(1, 0, AttemptResult.OK, 20_000, true, null));
        assertEquals(1, proxy.actions.size());
    }
}

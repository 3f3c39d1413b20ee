package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Field;
import java.lang.reflect.Modifier;
import java.net.Socket;
import java.util.Collection;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

import loadbalancer.policy.LoadBalancerSettings;
import loadbalancer.proxy.config.EndpointList;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.discovery.DiscoveryClient;
import loadbalancer.proxy.downstream.ClientRequestParser;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/**
 * Guards against memory leaks: a node that serves new endpoints, clients and requests all the time must keep no entry
 * for those that have gone.
 */
class MemoryGrowthTest {
    private static final int ROUNDS = 150;
    /** Types whose contents come from the configuration and do not grow. */
    private static final Set<Class<?>> CONFIGURATION_TYPES = Set.of(
            LoadBalancerSettings.class,
            ProxyConfiguration.class,
            ClientRequestParser.class,
            EndpointList.class,
            DiscoveryClient.class);

    /** Returns the sizes of all non-empty collections and maps that are reachable through classes of this program. */
    private static Map<String, Integer> collectionSizes(Object root) throws IllegalAccessException {
        Map<String, Integer> sizes = new TreeMap<>();
        addCollectionSizes(root, new IdentityHashMap<>(), sizes);
        sizes.values().removeIf(size -> size == 0);
        return sizes;
    }

    private static void addCollectionSizes(Object object, Map<Object, Object> seen, Map<String, Integer> sizes)
            throws IllegalAccessException {
        if (object == null
                || !object.getClass().getName().startsWith("loadbalancer.")
                || CONFIGURATION_TYPES.contains(object.getClass())
                || seen.put(object, object) != null) {
            return;
        }
        for (Field field : object.getClass().getDeclaredFields()) {
            if (!Modifier.isStatic(field.getModifiers()) && !field.getType().isPrimitive()) {
                field.setAccessible(true);
                Object value = field.get(object);
                if (value instanceof Collection<?> || value instanceof Map<?, ?>) {
                    sizes.merge(object.getClass().getSimpleName() + "." + field.getName(), size(value), Integer::sum);
                } else {
                    addCollectionSizes(value, seen, sizes);
                }
            }
        }
    }

    /** Returns the number of elements, including those of nested collections and maps. */
    private static int size(Object table) {
        Collection<?> all = table instanceof Map<?, ?> map ? map.values() : (Collection<?>) table;
        int size = 0;
        for (Object element : all) {
            size += element instanceof Collection<?> || element instanceof Map<?, ?> ? size(element) : 1;
        }
        return size;
    }

    @Test
    @Timeout(60)
    void noEntriesRemainOfEndpointsClientsAndRequestsThatHaveGone() throws Exception {
        String[] statuses = {"200 OK", "500 No", "200 OK", "200 OK", "503 Busy"};
        int[] count = {0};
        try (ScriptedHttpServer server = new ScriptedHttpServer((request, peer) -> {
                    String status = statuses[count[0]++ % statuses.length];
                    peer.write(
                            HttpMessages.response(status, status.startsWith("503") ? "X-Turned-Away: 1\r\n" : "", "x"));
                });
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.startWithCachedList(ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            ScriptedHttpServer.Peer watch = ScriptedHttpServer.next(fixture.discovery.peers);
            Set<Integer> seen = new HashSet<>();
            for (int i = 1; i <= ROUNDS; i++) {
                // Replaces the endpoint by one with a new id and the same address.
                watch.write(ProxyFixture.chunk(ProxyFixture.list(
                                i + 1,
                                false,
                                "s" + i + "=" + server.endpoint() + "=Ready",
                                "s" + (i - 1) + "=" + server.endpoint() + "=Gone")
                        + "\n"));
                try (Socket client = fixture.connect()) {
                    seen.add(ProxyFixture.ask(client, HttpMessages.page("/api/" + i, "p" + i, "2000m"))
                            .status());
                    seen.add(ProxyFixture.ask(client, HttpMessages.order("o" + i, "300m"))
                            .status());
                }
            }
            assertTrue(
                    seen.contains(200) && seen.size() > 1,
                    "both successes and failures are expected, but statuses were " + seen);
            watch.write(ProxyFixture.chunk(
                    ProxyFixture.list(ROUNDS + 2, false, "s" + ROUNDS + "=" + server.endpoint() + "=Gone") + "\n"));
            Map<String, Integer> left;
            long until = System.nanoTime() + 20_000_000_000L;
            do {
                left = fixture.loop.submit(() -> collectionSizes(fixture.node)).get();
            } while (!left.isEmpty() && System.nanoTime() < until);
            assertEquals(Map.of(), left);
        }
    }
}

package loadbalancer.proxy.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import loadbalancer.Main;
import loadbalancer.policy.DeduplicationScope;
import loadbalancer.policy.EndpointState;
import loadbalancer.policy.Idempotency;
import loadbalancer.proxy.lifecycle.ProxyFixture;

/** Tests how the configuration is loaded from the configuration file and the environment. */
class ProxyConfigurationTest {
    private static final String CONFIG =
            """
            {"name":"n0","listen":"127.0.0.1:8000","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
             "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
             "known":{"rev":41,"all":true,"targets":[{"uid":"s-1","endpoint":"10.1.0.18:8000","az":"b",
              "model":"m","pod_group":3,"state":"Terminating","capacity_hint":1.5,"boot_ms":1234}]},
             "settings":{"balancers":2,"me":1,"zones":["a","b"],"myZone":"b","membershipMode":"on_request",
              "limits":{"attemptsCap":4,"connIdleUs":60000000,"dialTimeoutUs":50000,"cancelling":true,
               "retryAfter":true,"maxRetryAfterUs":1000000},
              "rules":{"coldFrom":0.12},"realms":[{"name":"school-a","quotaPerS":85.0}],
              "classes":[{"name":"photo","onTimeUs":200000,"giveUpUs":600000,"repeat":"keyed","group":"cell",
               "windowUs":1200000,"importance":5.0}]}}
            """;

    @TempDir
    private Path tempFolder;

    private ProxyConfiguration load(String config, Map<String, String> extraEnv) throws Exception {
        Path file = Files.writeString(tempFolder.resolve("config.json"), config);
        Map<String, String> env = new HashMap<>(extraEnv);
        env.put("PROXY_CONFIG", file.toString());
        return ProxyConfiguration.load(env);
    }

    @Test
    void fileWith1024InstancesAndEndpointsIsLoaded() throws Exception {
        StringBuilder peers = new StringBuilder("\"127.0.0.1:7946\"");
        String[] endpoints = new String[1_024];
        for (int i = 0; i < endpoints.length; i++) {
            peers.append(i == 0 ? "" : ",\"127.3." + i / 250 + "." + i % 250 + ":7946\"");
            endpoints[i] = "s" + i + "=127.100.200." + i % 250 + ":18080=Ready";
        }
        ProxyConfiguration config = load(
                CONFIG.replace("\"balancers\":2", "\"balancers\":1024")
                        .replaceFirst(
                                "\"known\":.*\n.*\n",
                                "\"peers\":[" + peers + "],\"known\":" + ProxyFixture.list(7, true, endpoints) + ",\n"),
                Map.of());
        assertEquals(1_024, config.settings().instances);
        assertEquals(1_024, config.cachedEndpoints().endpoints().size());
    }

    @Test
    void fieldsOfTheFileAreLoaded() throws Exception {
        ProxyConfiguration config = load(CONFIG, Map.of());
        assertEquals(8000, config.listen().getPort());
        assertEquals(8500, config.discovery().getPort());
        assertEquals(0x8c1f30d27a5be964L, config.seed());
        assertEquals(1024, config.maxDescriptors());
        assertEquals(192L << 20, config.maxMemoryBytes());
        assertEquals(60_000_000, config.upstreamIdleTimeoutUs());
        assertEquals(2, config.settings().instances);
        assertEquals(1, config.settings().instanceIndex);
        assertEquals(List.of("a", "b"), config.settings().zones);
        assertEquals(1, config.settings().localZone);
        assertEquals(50_000, config.settings().connectTimeoutUs);
        assertEquals(1_000_000, config.settings().maxRetryAfterUs);
        assertEquals(0.12, config.settings().initialCapacityShare);
        assertTrue(config.settings().endpointListPolled);
        assertEquals(
                Idempotency.IDEMPOTENCY_KEY, config.settings().classes.get(0).idempotency());
        assertEquals(DeduplicationScope.CELL, config.settings().classes.get(0).deduplicationScope());
        assertEquals(85.0, config.settings().tenants.get(0).quotaPerSecond());
        EndpointList.AddressedEndpoint endpoint =
                config.cachedEndpoints().endpoints().get(0);
        assertEquals(
                "10.1.0.18:8000",
                endpoint.address().getHostString() + ":" + endpoint.address().getPort());
        assertEquals(1, endpoint.entry().zone());
        assertEquals(3, endpoint.entry().cell());
        assertEquals(EndpointState.DRAINING, endpoint.entry().state());
        assertEquals(1_234_000, endpoint.entry().startedAtUs());
    }

    @Test
    void addressesInTheEnvironmentOverrideTheFile() throws Exception {
        ProxyConfiguration config =
                load(CONFIG, Map.of("PROXY_LISTEN", "127.0.0.7:81", "PROXY_DISCOVERY", "127.0.0.8:82"));
        assertEquals("127.0.0.7", config.listen().getHostString());
        assertEquals(82, config.discovery().getPort());
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "127.0.0.1:8000 | nowhere | listen",
                "127.0.0.1:8500 | host.example:8500 | discovery",
                "8c1f30d27a5be964 | xyz | seed",
                "\"sockets\":1024 | \"sockets\":\"many\" | limits.sockets",
                "\"memory_mb\":192 | \"memory_mb\":\"much\" | limits.memory_mb",
                "\"memory_mb\":192 | \"memory_mb\":0 | limits.memory_mb",
                "\"onTimeUs\":200000, | '' | settings.classes.0.onTimeUs",
                "\"keyed\" | \"never\" | settings.classes.0.repeat",
                "\"me\":1 | \"me\":2 | settings: me",
                "\"rev\":41 | \"rev\":\"x\" | known.rev",
                "Terminating | Asleep | known.targets[0].state",
                "\"settings\":{ | \"sittings\":{ | settings",
            })
    void exceptionForAnInvalidFieldBeginsWithTheField(String valid, String invalid, String field) {
        ConfigurationException e =
                assertThrows(ConfigurationException.class, () -> load(CONFIG.replace(valid, invalid), Map.of()));
        assertTrue(e.getMessage().startsWith(field + " "), e.getMessage());
    }

    @Test
    void missingFileEndsTheProcessWithOneLineAndExitCode2() throws Exception {
        String java = ProcessHandle.current().info().command().orElseThrow();
        ProcessBuilder builder =
                new ProcessBuilder(java, "-cp", System.getProperty("java.class.path"), Main.class.getName(), "proxy");
        builder.environment()
                .put("PROXY_CONFIG", tempFolder.resolve("none.json").toString());
        Process process = builder.start();
        String output = new String(process.getErrorStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(20, TimeUnit.SECONDS), "the process has not ended");
        assertEquals(2, process.exitValue());
        assertEquals(1, output.lines().count(), output);
        assertTrue(output.contains("PROXY_CONFIG"), output);
    }
}

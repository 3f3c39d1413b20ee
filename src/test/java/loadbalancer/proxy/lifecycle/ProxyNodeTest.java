package loadbalancer.proxy.lifecycle;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertTimeoutPreemptively;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Proxy;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

import io.netty.channel.ChannelException;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import loadbalancer.DeployFile;
import loadbalancer.Main;
import loadbalancer.policy.LoadBalancer;
import loadbalancer.policy.ServiceQLoadBalancer;
import loadbalancer.proxy.config.ProxyConfiguration;
import loadbalancer.proxy.downstream.ClientListener;
import loadbalancer.testsupport.HttpMessages;
import loadbalancer.testsupport.ScriptedHttpServer;

/** Start, configuration reload and shutdown of a node, and defects in its decision module. */
class ProxyNodeTest {

    /** Returns a decision module that throws when it is first notified of the event. */
    private static LoadBalancer failingOnce(LoadBalancer delegate, String event, Throwable defect) {
        boolean[] hasFailed = {false};
        return (LoadBalancer) Proxy.newProxyInstance(
                LoadBalancer.class.getClassLoader(), new Class<?>[] {LoadBalancer.class}, (proxy, method, args) -> {
                    if (method.getName().equals(event) && !hasFailed[0]) {
                        hasFailed[0] = true;
                        throw defect;
                    }
                    try {
                        return method.invoke(delegate, args);
                    } catch (InvocationTargetException e) {
                        throw e.getCause();
                    }
                });
    }

    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onAttemptOutcome"})
    void exceptionInTheModuleFailsOnlyOneRequest(String event) throws Exception {
        assertOnlyOneRequestFails(event, new IllegalStateException("broken for the test"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"onRequest", "onAttemptOutcome"})
    void errorInTheModuleFailsOnlyOneRequest(String event) throws Exception {
        assertOnlyOneRequestFails(event, new OutOfMemoryError("for the test"));
    }

    private static void assertOnlyOneRequestFails(String event, Throwable defect) throws Exception {
        // The endpoint only fails, so that the node itself must respond to the client.
        try (ScriptedHttpServer server =
                        new ScriptedHttpServer((request, peer) -> peer.write(HttpMessages.response("500 No", "", "")));
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.loadBalancers =
                    actions -> failingOnce(new ServiceQLoadBalancer(fixture.settings, 7, actions), event, defect);
            fixture.start(server);
            assertEquals(500, fixture.ask(HttpMessages.order("first", "4000m")).status());
            assertEquals(502, fixture.ask(HttpMessages.order("second", "4000m")).status());
        }
    }

    private static Path configure(Path folder, String discovery) throws Exception {
        return configure(folder, "127.0.0.1:0", discovery, ProxyFixture.list(0, true));
    }

    private static Path configure(Path folder, String listen, String discovery, String known) throws Exception {
        Path next = Files.writeString(
                folder.resolve("next.json"),
                """
                {"listen":"%s","discovery":"%s","seed":"1","limits":{"sockets":256},"known":%s,"settings":
                 {"membershipMode":"on_request","limits":{"attemptsCap":1},
                  "classes":[{"name":"page","onTimeUs":100000,"giveUpUs":500000,"repeat":"safe"}]}}
                """
                        .formatted(listen, discovery, known));
        return Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts a node as a process, with the address of discovery in the environment too. */
    private static Process startProcess(Path config, String discovery) throws Exception {
        return startProcess(config, discovery, List.of());
    }

    /** Starts a node as a process by another command, to which the command line of the node is appended. */
    private static Process startProcess(Path config, String discovery, List<String> starter) throws Exception {
        List<String> command = new ArrayList<>(starter);
        command.addAll(List.of(
                ProcessHandle.current().info().command().orElseThrow(),
                "-XX:TieredStopAtLevel=1",
                "-cp",
                System.getProperty("java.class.path"),
                Main.class.getName(),
                "proxy"));
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().put("PROXY_DISCOVERY", discovery);
        return builder.redirectErrorStream(true).start();
    }

    private static void awaitLine(BufferedReader lines, String part) {
        List<String> read = Collections.synchronizedList(new ArrayList<>());
        assertTimeoutPreemptively(
                Duration.ofSeconds(20),
                () -> {
                    String line = lines.readLine();
                    while (line != null && !line.contains(part)) {
                        read.add(line);
                        line = lines.readLine();
                    }
                    assertNotNull(line, () -> "no line contains \"" + part + "\", output: " + read);
                },
                () -> "no line contains \"" + part + "\", output: " + read);
    }

    private static void sendHangUp(Process process) throws Exception {
        new ProcessBuilder("kill", "-HUP", Long.toString(process.pid())).start().waitFor();
    }

    /**
     * Returns a command that ignores SIGHUP and then does what {@code run} of the deploy file does before it starts
     * Java.
     */
    private static List<String> commandIgnoringHangUp() throws Exception {
        String run = DeployFile.runCommand();
        String beforeJava = run.substring(0, run.indexOf("java "));
        return List.of("/bin/sh", "-c", "trap '' HUP; " + beforeJava + "\"$0\" \"$@\"");
    }

    @Test
    void sighupIsHandledIfTheParentProcessIgnoresIt(@TempDir Path folder) throws Exception {
        ScriptedHttpServer.Script watch = (request, peer) -> peer.write(ProxyFixture.watchResponseHead());
        try (ScriptedHttpServer before = new ScriptedHttpServer(watch);
                ScriptedHttpServer after = new ScriptedHttpServer(watch)) {
            Path config = configure(folder, before.endpoint());
            Process process = startProcess(config, before.endpoint(), commandIgnoringHangUp());
            try {
                ScriptedHttpServer.next(before.requests);
                configure(folder, after.endpoint());
                sendHangUp(process);
                ScriptedHttpServer.next(after.requests);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    @Timeout(60)
    void nodeRecoversAfterRunningOutOfDescriptors(@TempDir Path folder) throws Exception {
        AtomicBoolean isDiscoveryUp = new AtomicBoolean();
        List<Socket> clients = new ArrayList<>();
        String listen;
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            listen = "127.0.0.1:" + free.getLocalPort();
        }
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ScriptedHttpServer discovery = new ScriptedHttpServer((request, peer) -> peer.write(
                        !isDiscoveryUp.get()
                                ? HttpMessages.response("503 Down", "", "")
                                : ProxyFixture.watchResponseHead()
                                        + ProxyFixture.chunk(
                                                ProxyFixture.list(2, true, "s0=" + server.endpoint() + "=Ready")
                                                        + "\n")))) {
            // The process has fewer descriptors than configured; otherwise the node would reserve some of them.
            Path config = configure(
                    folder,
                    listen,
                    discovery.endpoint(),
                    ProxyFixture.list(1, true, "s0=" + server.endpoint() + "=Ready"));
            Process process = startProcess(
                    config, discovery.endpoint(), List.of("/bin/sh", "-c", "ulimit -n 80; exec \"$0\" \"$@\""));
            try {
                BufferedReader lines = process.inputReader();
                awaitLine(lines, "listening on ");
                InetSocketAddress address = ProxyConfiguration.parseAddress("listen", listen);
                Socket early = new Socket(address.getAddress(), address.getPort());
                // Discovery rejects all calls, so the node becomes ready only after a timeout.
                while (ProxyFixture.ask(early, HttpMessages.READINESS_REQUEST).status() != 200) {
                    Thread.onSpinWait();
                }
                for (int i = 0; i < 100; i++) {
                    clients.add(new Socket(address.getAddress(), address.getPort()));
                }
                awaitLine(lines, "Too many open files");
                awaitLine(lines, "reason=\"connect failed: Failed to open a socket");
                // More requests than there are descriptors: each gets a response, and none may leak a descriptor.
                for (int i = 0; i < 200; i++) {
                    ProxyFixture.ask(early, HttpMessages.page("/api/p", "t" + i, "500m"));
                }
                early.close();
                for (Socket client : clients) {
                    client.close();
                }
                isDiscoveryUp.set(true);
                HttpMessages.Message answer;
                do {
                    try (Socket client = new Socket(address.getAddress(), address.getPort())) {
                        answer = ProxyFixture.ask(client, HttpMessages.page("/api/p", "t", "500m"));
                    }
                } while (answer.status() != 200);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    void processExitsOnSigtermWhenNoConnectionIsOpen(@TempDir Path folder) throws Exception {
        Process process = startProcess(configure(folder, "127.0.0.1:9"), "127.0.0.1:9");
        try {
            awaitLine(process.inputReader(), "listening on ");
            process.destroy();
            assertTrue(process.waitFor(20, TimeUnit.SECONDS));
            assertEquals(143, process.exitValue(), "exit code after a graceful shutdown by SIGTERM");
        } finally {
            process.destroyForcibly();
        }
    }

    @Test
    void sighupMovesTheWatchAndIgnoresAnInvalidFile(@TempDir Path folder) throws Exception {
        ScriptedHttpServer.Script watch = (request, peer) -> peer.write(ProxyFixture.watchResponseHead());
        try (ScriptedHttpServer before = new ScriptedHttpServer(watch);
                ScriptedHttpServer after = new ScriptedHttpServer(watch)) {
            Path config = configure(folder, before.endpoint());
            Process process = startProcess(config, before.endpoint());
            try {
                BufferedReader lines = process.inputReader();
                ScriptedHttpServer.next(before.requests);
                configure(folder, after.endpoint());
                sendHangUp(process);
                ScriptedHttpServer.next(after.requests);
                ScriptedHttpServer.next(before.closedConnections);
                Files.writeString(config, "{");
                sendHangUp(process);
                awaitLine(lines, "PROXY_CONFIG is not JSON");
                configure(folder, before.endpoint());
                sendHangUp(process);
                sendHangUp(process);
                ScriptedHttpServer.next(before.requests);
                process.destroy();
                sendHangUp(process);
                assertTrue(process.waitFor(20, TimeUnit.SECONDS));
                assertEquals(
                        143,
                        process.exitValue(),
                        "exit code after a graceful shutdown by SIGTERM, with SIGHUP during the shutdown");
                assertEquals(1, after.acceptedCount.get());
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    @Timeout(60)
    void partlyWrittenFileIsReadAgainWithoutAnotherSignal(@TempDir Path folder) throws Exception {
        ScriptedHttpServer.Script watch = (request, peer) -> peer.write(ProxyFixture.watchResponseHead());
        try (ScriptedHttpServer before = new ScriptedHttpServer(watch);
                ScriptedHttpServer after = new ScriptedHttpServer(watch)) {
            Path config = configure(folder, before.endpoint());
            Process process = startProcess(config, before.endpoint());
            try {
                BufferedReader lines = process.inputReader();
                ScriptedHttpServer.next(before.requests);
                Files.writeString(config, "{\"listen\":");
                sendHangUp(process);
                awaitLine(lines, "PROXY_CONFIG is not JSON");
                configure(folder, after.endpoint());
                ScriptedHttpServer.next(after.requests);
            } finally {
                process.destroyForcibly();
            }
        }
    }

    @Test
    @Timeout(60)
    void listenerIsOpenedOnceADescriptorIsFree() throws Exception {
        AtomicInteger attempts = new AtomicInteger();
        try (ScriptedHttpServer server = ScriptedHttpServer.serving("x");
                ProxyFixture fixture = ProxyFixture.withHeartbeat()) {
            fixture.listeners = () -> {
                if (attempts.getAndIncrement() < 2) {
                    throw new ChannelException("Failed to open a socket, for the test");
                }
                return new ClientListener();
            };
            fixture.start(server);
            assertEquals(200, fixture.ask(HttpMessages.page("t")).status());
            assertEquals(3, attempts.get());
        }
    }
}

package loadbalancer.faultinjection;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import loadbalancer.DeployFile;
import loadbalancer.Main;

/**
 * A node in its own process, started with the command line of the deploy file. Tests run before the program is packaged,
 * so the command line uses the class path of the test instead of the jar.
 */
final class ProxyProcess implements AutoCloseable {
    private static final String JAR_OPTION = "-jar target/loadbalancer.jar";
    private static final long START_TIMEOUT_S = 30;
    private static final long BYTES_PER_KIB = 1_024;
    /** The memory limit of the process in its settings. */
    static final long MEMORY_MB = 192;

    private final Path folder;
    private final String knownList;
    private final int fleetSize;
    private final int port;
    private final Process process;
    private final Queue<String> log = new ConcurrentLinkedQueue<>();
    private final CountDownLatch listening = new CountDownLatch(1);

    /**
     * Starts a node.
     *
     * @param fleetSize the number of nodes in the settings
     * @param knownList the endpoint list in the configuration
     * @param discovery the address of discovery
     */
    ProxyProcess(Path folder, int fleetSize, String knownList, String discovery) throws IOException {
        this.folder = folder;
        this.knownList = knownList;
        this.fleetSize = fleetSize;
        port = freePort();
        configure(discovery);
        String run = DeployFile.runCommand()
                .replace(JAR_OPTION, "-cp '" + System.getProperty("java.class.path") + "' " + Main.class.getName());
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run).redirectErrorStream(true);
        builder.environment().put("PROXY_CONFIG", folder.resolve("config.json").toString());
        builder.environment().put("LOADBALANCER_LOG", "requests");
        process = builder.start();
        StandInThreads.start(this::readLog);
    }

    private static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Replaces the configuration file atomically with one that names the given address of discovery. */
    void configure(String discovery) throws IOException {
        Path next = Files.writeString(
                folder.resolve("next.json"),
                """
                {"listen":"127.0.0.1:%d","discovery":"%s","seed":"7","limits":{"sockets":1024,"memory_mb":%d},"known":%s,"settings":
                 {"balancers":%d,"me":0,"membershipMode":"on_request","zones":["here"],"myZone":"here",
                  "rules":{"askWithinUs":10000000,"drainGraceUs":500000},"limits":{"attemptsCap":3},
                  "classes":[{"name":"page","onTimeUs":500000,"giveUpUs":2000000,"repeat":"safe"},
                             {"name":"order","onTimeUs":500000,"giveUpUs":2000000,"repeat":"unsafe"}]}}
                """
                        .formatted(port, discovery, MEMORY_MB, knownList, fleetSize));
        Files.move(next, folder.resolve("config.json"), StandardCopyOption.REPLACE_EXISTING);
    }

    private void readLog() throws IOException {
        try (BufferedReader lines = process.inputReader()) {
            String line;
            while ((line = lines.readLine()) != null) {
                log.add(line);
                if (line.startsWith("listening on ")) {
                    listening.countDown();
                }
            }
        }
    }

    /** Waits until clients can connect. */
    void awaitListening() throws InterruptedException {
        if (!listening.await(START_TIMEOUT_S, TimeUnit.SECONDS)) {
            throw new IllegalStateException("node does not listen after " + START_TIMEOUT_S + " s; its log: " + log());
        }
    }

    InetSocketAddress address() {
        return new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    }

    /** Sends a signal, named as for the command kill, to the process. */
    void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
                .start()
                .waitFor();
    }

    /** Returns the largest memory that the process has had resident so far. */
    long peakMemoryBytes() throws IOException {
        String line = Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                .filter(field -> field.startsWith("VmHWM:"))
                .findFirst()
                .orElseThrow();
        return Long.parseLong(line.replaceAll("[^0-9]", "")) * BYTES_PER_KIB;
    }

    boolean isAlive() {
        return process.isAlive();
    }

    /** Returns the output of the process so far. */
    String log() {
        return String.join("\n", log);
    }

    @Override
    public void close() {
        process.destroyForcibly();
    }
}

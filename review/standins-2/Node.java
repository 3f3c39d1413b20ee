import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A node in a process of its own, started with the command of the deploy file. Its log goes to a temporary folder. */
final class Node implements AutoCloseable {
    private static final int READY_WITHIN_S = 30;

    final int port = Http.freePort();
    private final Path folder = Files.createTempDirectory("review");
    private final Process process;

    Node(Discovery discovery, String settings) throws IOException {
        Path config = Files.writeString(
                folder.resolve("config.json"),
                """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"7",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":1024},"known":%s,"settings":%s}
                """
                        .formatted(port, discovery.address(), discovery.wholeList(), settings));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(Path.of("deploy/balancer.toml")));
        if (!run.find()) {
            throw new IOException("the deploy file has no run command");
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", run.group(1));
        builder.environment().put("PROXY_CONFIG", config.toString());
        builder.environment().remove("PROXY_LISTEN");
        builder.environment().remove("PROXY_DISCOVERY");
        builder.redirectErrorStream(true).redirectOutput(folder.resolve("log").toFile());
        process = builder.start();
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    void awaitReady() throws Exception {
        for (int i = 0; i < 10 * READY_WITHIN_S; i++) {
            if (!process.isAlive()) {
                throw new IOException("the node has ended: " + Files.readString(folder.resolve("log")));
            }
            try (Socket socket = Http.connect(port)) {
                socket.setSoTimeout(1_000);
                Http.write(socket, "GET /up HTTP/1.1\r\nHost: front\r\n\r\n");
                Http.Message answer = Http.read(Http.input(socket));
                if (answer != null && answer.status() == 200) {
                    return;
                }
            } catch (IOException e) {
                // It does not listen yet.
            }
            Thread.sleep(100);
        }
        throw new IOException("the node is not ready within " + READY_WITHIN_S + " s");
    }

    boolean isAlive() {
        return process.isAlive();
    }

    @Override
    public void close() {
        process.destroyForcibly();
        try (Stream<Path> files = Files.walk(folder)) {
            process.waitFor();
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException | InterruptedException e) {
            // The folder is temporary.
        }
    }
}

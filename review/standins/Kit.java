import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** What the cases share: the record, a node in its own process, HTTP messages, app servers and discovery. */
final class Kit {
    static final long START = System.nanoTime();
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
    private static PrintWriter record;

    private Kit() {}

    /** Thrown when the case cannot run; it ends with exit code 2. */
    static final class CannotRun extends RuntimeException {
        private static final long serialVersionUID = 1;

        CannotRun(String why) {
            super(why);
        }
    }

    interface Task {
        void run() throws Exception;
    }

    interface Case {
        /** Plays the case and returns the breaks of the rule that were seen. */
        List<String> play(Path folder) throws Exception;
    }

    /** Runs a case with a temporary folder, prints the verdict, and exits with 1, 0 or 2. */
    static void run(String recordFile, Case theCase) throws Exception {
        record = new PrintWriter(Files.newBufferedWriter(Path.of(recordFile)), true);
        Path folder = Files.createTempDirectory("review");
        int code;
        try {
            List<String> breaks = theCase.play(folder);
            breaks.forEach(each -> log("BREAK " + each));
            code = breaks.isEmpty() ? 0 : 1;
            log((code == 0 ? "HELD" : "BROKEN, " + breaks.size() + " times") + (TROUBLE ? "" : " (TROUBLE=0)"));
        } catch (Exception e) {
            log("CANNOT RUN " + e);
            code = 2;
        } finally {
            Node.stopAll();
            try (var files = Files.walk(folder)) {
                files.sorted(java.util.Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
            }
        }
        record.flush();
        System.exit(code);
    }

    static synchronized void log(String line) {
        String text = String.format(Locale.ROOT, "%9.3f %s", seconds(System.nanoTime()), line);
        record.println(text);
        if (line.startsWith("BREAK") || line.startsWith("HELD") || line.startsWith("BROKEN") || line.startsWith("CANNOT")) {
            System.out.println(text);
        }
    }

    /** Returns the time since the start of the case. */
    static double seconds(long nanos) {
        return (nanos - START) / 1e9;
    }

    static double now() {
        return seconds(System.nanoTime());
    }

    static void sleepUntil(double atSeconds) throws InterruptedException {
        long left = (long) ((atSeconds - now()) * 1e9);
        if (left > 0) {
            TimeUnit.NANOSECONDS.sleep(left);
        }
    }

    static Thread start(Task task) {
        Thread thread = new Thread(() -> {
            try {
                task.run();
            } catch (IOException | InterruptedException e) {
                // The connection of this thread has ended, or the case is over.
            } catch (Exception e) {
                log("stand-in failed: " + e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static InetAddress loopback() {
        return InetAddress.getLoopbackAddress();
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, loopback())) {
            return free.getLocalPort();
        }
    }

    // ------------------------------------------------------------------ configuration

    /** The settings of riga-rides as on the page WIRE, with some of their figures. */
    static String settings(String postRideEffect, boolean parallelTries, long dialTimeoutUs) {
        String search = "{\"name\":\"search\",\"onTimeUs\":1200000,\"giveUpUs\":3000000,\"repeat\":\"safe\",\"importance\":2.0,"
                + "\"lateWorth\":0.25,\"group\":\"all\",\"windowUs\":5000000,\"stream\":false}";
        String book = "{\"name\":\"book\",\"onTimeUs\":1500000,\"giveUpUs\":5000000,\"repeat\":\"unsafe\",\"importance\":3.0,"
                + "\"lateWorth\":0.2,\"group\":\"all\",\"windowUs\":5000000,\"stream\":false}";
        String pay = "{\"name\":\"pay\",\"onTimeUs\":750000,\"giveUpUs\":3000000,\"repeat\":\"unsafe\",\"importance\":10.0,"
                + "\"lateWorth\":0.2,\"group\":\"all\",\"windowUs\":5000000,\"stream\":false}";
        String postRide = "{\"name\":\"post-ride\",\"onTimeUs\":1500000,\"giveUpUs\":7500000,\"repeat\":\"" + postRideEffect
                + "\",\"importance\":5.0,\"lateWorth\":0.25,\"group\":\"all\",\"windowUs\":5000000,\"stream\":false}";
        return """
                {"balancers":4,"me":0,"callers":{"marksRetry":true},"classes":[%s,%s,%s,%s],
                 "costs":{"connection":0.0,"crossZone":0.08,"handshake":0.0,"lateFail":0.046,"membershipMode":0.0,
                  "moves":0.0,"origin":0.0,"peer":0.0094,"probe":0.01,"waste":0.2},
                 "countedBy":"work","extra":{"warmKeys":true},
                 "goal":{"whole":0.6,"worstClass":0.2,"worstTenant":0.1,"worstWindow":0.1},
                 "kinds":["fast","mid","slow"],"layers":["ride-api"],
                 "limits":{"attemptsCap":3,"cancelling":true,"connIdleUs":5000000,"cpuUsPerRequest":0.0,"cpuUsPerS":15000,
                  "dialTimeoutUs":%d,"maxOpen":20000,"maxRetryAfterUs":2500000,"parallelTries":%b,"peerMessages":true,
                  "probes":true,"retryAfter":true,"streamsPerConn":1},
                 "membershipMode":"on_request","myZone":"hall-b","overShareWorth":0.2,"quantumUs":5000,
                 "realms":[{"name":"vidzeme-brauc","quotaPerS":145.0,"share":0.64},
                  {"name":"kurzeme-cels","quotaPerS":82.0,"share":0.36}],
                 "report":{"fields":["mean_ms","depth"],"via":"answers"},
                 "rules":{"askWithinUs":10000000,"coldFrom":0.12,"coldUs":23000000,"drainGraceUs":500000,"fallUs":2000000,
                  "graceToAnswerUs":20000,"overloadFactor":2.5},
                 "serviceType":"proxy","tier":0,"weights":"none","zones":["hall-a","hall-b","hall-c","hall-d"]}"""
                .formatted(search, book, pay, postRide, dialTimeoutUs, parallelTries);
    }

    /** The configuration of a node on this port. */
    static String configuration(int port, Discovery discovery, String settings) {
        return """
                {"name":"n0","listen":"127.0.0.1:%d","discovery":"%s","seed":"8c1f30d27a5be964",
                 "limits":{"cores":1.0,"memory_mb":192,"sockets":512},"known":%s,"settings":%s}"""
                .formatted(port, discovery.address(), discovery.whole(), settings);
    }

    // ------------------------------------------------------------------ HTTP

    /** An HTTP message: start line, headers with lower-case names, body. */
    record Message(String startLine, Map<String, String> headers, byte[] body, long firstByteNanos, long lastByteNanos) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(startLine.split(" ")[1]);
        }

        String text() {
            return new String(body, StandardCharsets.ISO_8859_1);
        }
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                throw new EOFException("connection ended");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    /** Reads a message as RFC 9112 frames it: by Transfer-Encoding, else by Content-Length, else without a body. */
    static Message read(InputStream in) throws IOException {
        in.mark(1);
        if (in.read() < 0) {
            throw new EOFException("connection ended");
        }
        in.reset();
        long first = System.nanoTime();
        String startLine = readLine(in);
        Map<String, String> headers = new LinkedHashMap<>();
        String line;
        while (!(line = readLine(in)).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, Math.max(0, colon)).toLowerCase(Locale.ROOT), line.substring(colon + 1).strip());
        }
        byte[] body = {};
        if ("chunked".equalsIgnoreCase(headers.get("transfer-encoding"))) {
            ByteArrayOutputStream all = new ByteArrayOutputStream();
            int size;
            while ((size = Integer.parseInt(readLine(in).strip(), 16)) > 0) {
                all.write(readExactly(in, size));
                readLine(in);
            }
            while (!readLine(in).isEmpty()) {
                // Skips the trailers.
            }
            body = all.toByteArray();
        } else if (headers.containsKey("content-length")) {
            body = readExactly(in, Integer.parseInt(headers.get("content-length")));
        }
        return new Message(startLine, headers, body, first, System.nanoTime());
    }

    private static byte[] readExactly(InputStream in, int size) throws IOException {
        byte[] bytes = in.readNBytes(size);
        if (bytes.length < size) {
            throw new EOFException("connection ended");
        }
        return bytes;
    }

    static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }

    static String response(int status, String extraHeaders, String body) {
        return "HTTP/1.1 " + status + " X\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** A client's connection, with one request at a time. */
    static final class Client implements AutoCloseable {
        final Socket socket;
        final InputStream in;

        Client(int port) throws IOException {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(loopback(), port), 5_000);
            in = new BufferedInputStream(socket.getInputStream());
        }

        void send(String text) throws IOException {
            write(socket.getOutputStream(), text);
        }

        /** Reads the response, for up to {@code timeoutMs}. */
        Message receive(int timeoutMs) throws IOException {
            socket.setSoTimeout(timeoutMs);
            return read(in);
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }

    // ------------------------------------------------------------------ app servers

    /** Serves one request; returns the response, or null to reset the connection without one. */
    interface Handler {
        String serve(Message request) throws Exception;
    }

    /** An app server. It serves the requests of a connection in turn; the handler may take its time. */
    static final class AppServer {
        final ServerSocket listener;
        final String uid;
        private final int port;
        private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();

        AppServer(String uid, Handler handler) throws IOException {
            this(uid, new ServerSocket(0, 200, loopback()), handler);
        }

        AppServer(String uid, ServerSocket listener, Handler handler) {
            this.uid = uid;
            this.listener = listener;
            port = listener.getLocalPort();
            if (handler != null) {
                Kit.start(() -> acceptAll(handler));
            }
        }

        void acceptAll(Handler handler) throws IOException {
            while (true) {
                Socket socket = listener.accept();
                sockets.add(socket);
                Kit.start(() -> {
                    try {
                        serve(socket, handler);
                    } finally {
                        sockets.remove(socket);
                    }
                });
            }
        }

        private static void serve(Socket socket, Handler handler) throws Exception {
            try (socket) {
                socket.setTcpNoDelay(true);
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    String response = handler.serve(read(in));
                    if (response == null) {
                        socket.setSoLinger(true, 0);
                        return;
                    }
                    write(socket.getOutputStream(), response);
                }
            }
        }

        /** Ends, as a process that exits: its connections are reset and new ones are refused. */
        void end() throws IOException {
            listener.close();
            for (Socket socket : sockets) {
                socket.setSoLinger(true, 0);
                socket.close();
            }
            log(uid + " ends");
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        String entry(String zone, String state) {
            return "{\"uid\":\"" + uid + "\",\"endpoint\":\"" + address() + "\",\"az\":\"" + zone
                    + "\",\"model\":\"m\",\"pod_group\":1,\"state\":\"" + state
                    + "\",\"capacity_hint\":1.0,\"boot_ms\":0}";
        }
    }

    // ------------------------------------------------------------------ discovery

    /** Discovery: the whole list, or a watch on changes with an empty line every 2 s. */
    static final class Discovery {
        static final long HEARTBEAT_MS = 2_000;
        private final int port;
        private ServerSocket listener;
        private final List<Socket> watches = new ArrayList<>();
        private int rev = 41;
        private final List<String> entries;
        private final List<int[]> changedAtRev = new ArrayList<>();
        private volatile long lastLineNanos;

        Discovery(List<String> entries) throws IOException {
            this.entries = new ArrayList<>(entries);
            listener = new ServerSocket(0, 50, loopback());
            port = listener.getLocalPort();
            Kit.start(() -> acceptAll(listener));
        }

        String address() {
            return "127.0.0.1:" + port;
        }

        synchronized String whole() {
            return "{\"rev\":" + rev + ",\"all\":true,\"targets\":[" + String.join(",", entries) + "]}";
        }

        private synchronized String changesAfter(int after) {
            List<String> changed = new ArrayList<>();
            for (int[] change : changedAtRev) {
                if (change[1] > after) {
                    changed.add(entries.get(change[0]));
                }
            }
            return "{\"rev\":" + rev + ",\"all\":false,\"targets\":[" + String.join(",", changed) + "]}";
        }

        /** Records a change of an entry; the watches tell it at their next turn. */
        synchronized void change(int index, String entry) {
            entries.set(index, entry);
            changedAtRev.add(new int[] {index, ++rev});
            log("discovery has rev " + rev + ": " + entry);
        }

        synchronized int rev() {
            return rev;
        }

        long lastLineNanos() {
            return lastLineNanos;
        }

        private void acceptAll(ServerSocket from) throws IOException {
            while (true) {
                Socket socket = from.accept();
                Kit.start(() -> serve(socket));
            }
        }

        private void serve(Socket socket) throws Exception {
            socket.setTcpNoDelay(true);
            String target = read(new BufferedInputStream(socket.getInputStream())).startLine().split(" ")[1];
            log("discovery gets " + target);
            if (!target.contains("watch=1")) {
                write(socket.getOutputStream(), response(200, "", whole()));
                return;
            }
            synchronized (watches) {
                watches.add(socket);
            }
            Matcher after = Pattern.compile("after=(\\d+)").matcher(target);
            int told = after.find() ? Integer.parseInt(after.group(1)) : -1;
            write(socket.getOutputStream(), "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
            String first = told < 0 || told > rev() ? whole() : changesAfter(told);
            told = rev();
            chunk(socket, first + "\n");
            while (true) {
                Thread.sleep(HEARTBEAT_MS);
                if (rev() > told) {
                    String changes = changesAfter(told);
                    told = rev();
                    chunk(socket, changes + "\n");
                } else {
                    chunk(socket, "\n");
                }
            }
        }

        private void chunk(Socket socket, String text) throws IOException {
            write(socket.getOutputStream(), Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
            lastLineNanos = System.nanoTime();
            log("discovery writes " + text.strip());
        }

        /** Goes down, as a process that dies: its connections are reset and new ones are refused. */
        void down() throws IOException {
            listener.close();
            synchronized (watches) {
                for (Socket watch : watches) {
                    watch.setSoLinger(true, 0);
                    watch.close();
                }
                watches.clear();
            }
            log("discovery is down");
        }

        /** Comes back at its address. */
        void up() throws IOException {
            listener = new ServerSocket();
            listener.setReuseAddress(true);
            listener.bind(new InetSocketAddress(loopback(), port), 50);
            ServerSocket current = listener;
            Kit.start(() -> acceptAll(current));
            log("discovery is up");
        }
    }

    // ------------------------------------------------------------------ the node

    /** A node, started with {@code run} of the deploy file from the root of the repository. */
    static final class Node {
        private static final List<Process> PROCESSES = new ArrayList<>();
        final int port;
        final Process process;
        private final Path config;

        Node(Path folder, String name, int port, String configuration) throws Exception {
            this.port = port;
            config = folder.resolve(name + ".json");
            configure(configuration);
            Path tmp = Files.createDirectories(folder.resolve("tmp-" + name));
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", runCommand()).redirectErrorStream(true);
            builder.environment().put("PROXY_CONFIG", config.toString());
            builder.environment().put("PROXY_NAME", name);
            builder.environment().put("TMPDIR", tmp.toString());
            builder.environment().put("LOADBALANCER_LOG", "requests");
            process = builder.start();
            synchronized (PROCESSES) {
                PROCESSES.add(process);
            }
            Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
            Kit.start(() -> {
                var lines = process.inputReader();
                String line;
                while ((line = lines.readLine()) != null) {
                    log(name + "| " + line);
                }
            });
        }

        void configure(String configuration) throws IOException {
            Path next = Files.writeString(config.resolveSibling(config.getFileName() + ".next"), configuration);
            Files.move(next, config, StandardCopyOption.REPLACE_EXISTING, StandardCopyOption.ATOMIC_MOVE);
        }

        private static String runCommand() throws IOException {
            for (String line : Files.readAllLines(Path.of("deploy/balancer.toml"))) {
                Matcher run = Pattern.compile("run = \"(.*)\"").matcher(line);
                if (run.matches()) {
                    return run.group(1);
                }
            }
            throw new CannotRun("the deploy file has no run");
        }

        /** Waits until GET /up answers 200. */
        void awaitReady() throws Exception {
            for (int i = 0; i < 300; i++) {
                if (!process.isAlive()) {
                    throw new CannotRun("the node ended with exit code " + process.exitValue());
                }
                try (Client client = new Client(port)) {
                    client.send("GET /up HTTP/1.1\r\nHost: backend.local\r\n\r\n");
                    if (client.receive(1_000).status() == 200) {
                        log("node ready");
                        return;
                    }
                } catch (IOException e) {
                    // Not listening yet.
                }
                Thread.sleep(100);
            }
            throw new CannotRun("the node is not ready after 30 s");
        }

        void signal(String name) throws Exception {
            new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
            log("SIG" + name + " sent to the node");
        }

        static void stopAll() throws InterruptedException {
            synchronized (PROCESSES) {
                for (Process process : PROCESSES) {
                    process.destroyForcibly();
                    process.waitFor(5, TimeUnit.SECONDS);
                }
            }
        }
    }
}

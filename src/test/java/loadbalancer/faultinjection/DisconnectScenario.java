package loadbalancer.faultinjection;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;

import loadbalancer.faultinjection.KeepAliveClient.Ending;
import loadbalancer.faultinjection.KeepAliveClient.Result;
import loadbalancer.faultinjection.StandInDiscovery.Fault;
import loadbalancer.faultinjection.UnreliableUpstream.Arrival;

/**
 * A node with unreliable endpoints, clients that disconnect, clients that use their connections until the node is killed,
 * and signals in succession. All choices come from a seed.
 */
final class DisconnectScenario {
    private static final int ENDPOINTS = 4;
    private static final int MAX_DEPARTING_CLIENTS = 12;
    private static final int KEEP_ALIVE_CLIENTS = 6;
    private static final int CROWD = 300;
    private static final int MAX_SIGNALS = 6;
    private static final int SERVING_MS = 5_000;
    /** The earliest time of the kill after SIGTERM: the longest deadline of the settings, plus 0.7 s. */
    private static final int KILL_AFTER_TERM_MS = 2_700;

    private static final int MAX_SUSPENSION_MS = 140;
    private static final long ALLOWED_AFTER_CLOSE_MS = 100;
    private static final int REJECTED = 503;

    private final long seed;
    private final SplittableRandom random;
    private final List<String> violations = new ArrayList<>();
    private final List<UnreliableUpstream> endpoints = new ArrayList<>();
    private final List<DepartingClient> departing = new ArrayList<>();
    private final List<KeepAliveClient> staying = new ArrayList<>();
    private volatile boolean crowdIsOver;

    DisconnectScenario(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
    }

    /** Plays the scenario with a new process, and returns what violated a rule. */
    List<String> play(Path folder) throws Exception {
        EndpointListHistory history = new EndpointListHistory();
        try (StandInDiscovery discovery = new StandInDiscovery(history, call -> Fault.NONE)) {
            for (int i = 0; i < ENDPOINTS; i++) {
                endpoints.add(new UnreliableUpstream(random.split()));
                history.add("e" + i, endpoints.get(i).address());
            }
            try (ProxyProcess node = new ProxyProcess(folder, 1, history.completeList(0, true), discovery.address())) {
                node.awaitListening();
                connectClients(node.address());
                sendSignals(node, discovery);
                if (!node.isAlive()) {
                    violations.add("the node ended before SIGTERM");
                }
                shutDown(node, discovery);
                judge();
                checkLog(node.log());
            }
        } finally {
            for (UnreliableUpstream endpoint : endpoints) {
                endpoint.close();
            }
        }
        return violations.stream().map(text -> "seed " + seed + ": " + text).toList();
    }

    private void connectClients(InetSocketAddress address) {
        int departingClients = 1 + random.nextInt(MAX_DEPARTING_CLIENTS);
        for (int i = 0; i < departingClients; i++) {
            departing.add(new DepartingClient(address, "d" + i, random.split()));
        }
        for (int i = 0; i < KEEP_ALIVE_CLIENTS; i++) {
            staying.add(new KeepAliveClient(address, "k" + i));
        }
        if (random.nextBoolean()) {
            StandInThreads.start(() -> crowd(address));
        }
    }

    /** Connects many clients that send nothing, again and again. */
    private void crowd(InetSocketAddress address) throws IOException, InterruptedException {
        while (!crowdIsOver) {
            List<Socket> sockets = new ArrayList<>();
            try {
                for (int i = 0; i < CROWD && !crowdIsOver; i++) {
                    Socket socket = new Socket();
                    sockets.add(socket);
                    socket.connect(address);
                }
                Thread.sleep(1_000);
            } finally {
                for (Socket socket : sockets) {
                    socket.close();
                }
            }
        }
    }

    private void sendSignals(ProxyProcess node, StandInDiscovery discovery) throws Exception {
        int signals = random.nextInt(MAX_SIGNALS + 1);
        for (int i = 0; i <= signals; i++) {
            Thread.sleep(SERVING_MS / (signals + 1));
            if (i < signals) {
                sendSignal(node, discovery);
            }
        }
    }

    private void sendSignal(ProxyProcess node, StandInDiscovery discovery) throws Exception {
        if (random.nextBoolean()) {
            node.configure(discovery.address());
            node.signal("HUP");
            return;
        }
        node.signal("STOP");
        Thread.sleep(random.nextInt(MAX_SUSPENSION_MS));
        node.signal("CONT");
    }

    private void shutDown(ProxyProcess node, StandInDiscovery discovery) throws Exception {
        node.signal("TERM");
        long killAtNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(KILL_AFTER_TERM_MS);
        if (random.nextBoolean()) {
            Thread.sleep(random.nextInt(KILL_AFTER_TERM_MS / 2));
            sendSignal(node, discovery);
        }
        if (random.nextInt(4) == 0) {
            node.signal("TERM");
        }
        TimeUnit.NANOSECONDS.sleep(killAtNanos - System.nanoTime());
        // A client that is ended by the kill has its request judged like any other.
        node.signal("KILL");
        crowdIsOver = true;
        Thread.sleep(100);
        departing.forEach(DepartingClient::close);
        staying.forEach(KeepAliveClient::close);
    }

    private void judge() {
        List<Arrival> arrivals = endpoints.stream()
                .flatMap(endpoint -> endpoint.arrivals().stream())
                .toList();
        judgeArrivalsAfterDisconnect(arrivals);
        Map<String, Integer> executions = new HashMap<>();
        arrivals.stream()
                .filter(Arrival::isExecuted)
                .forEach(arrival -> executions.merge(arrival.requestId(), 1, Integer::sum));
        Set<String> forwarded =
                arrivals.stream().map(Arrival::requestId).collect(Collectors.toCollection(HashSet::new));
        Set<String> orders = new HashSet<>();
        departing.forEach(client -> orders.addAll(client.orders()));
        executions.forEach((id, count) -> {
            if (count > 1 && orders.contains(id)) {
                violations.add("executed " + count + " times: order " + id);
            }
        });
        int served = 0;
        for (KeepAliveClient client : staying) {
            for (Result result : client.results()) {
                judge(result, forwarded, executions);
                served += result.status() == 200 ? 1 : 0;
            }
        }
        if (served == 0) {
            violations.add("no request was served");
        }
    }

    private void judgeArrivalsAfterDisconnect(List<Arrival> arrivals) {
        Map<String, Long> leftAtNanos = new HashMap<>();
        departing.forEach(client -> leftAtNanos.putAll(client.leftAtNanos()));
        for (Arrival arrival : arrivals) {
            Long left = leftAtNanos.get(arrival.requestId());
            long afterMs = left == null ? 0 : TimeUnit.NANOSECONDS.toMillis(arrival.firstByteNanos() - left);
            if (afterMs > ALLOWED_AFTER_CLOSE_MS) {
                violations.add(arrival.requestId() + " forwarded " + afterMs + " ms after its client had left");
            }
        }
    }

    private void judge(Result result, Set<String> forwarded, Map<String, Integer> executions) {
        boolean isForwarded = forwarded.contains(result.requestId());
        int count = executions.getOrDefault(result.requestId(), 0);
        if (result.ending() == Ending.NO_RESPONSE || (result.ending() == Ending.CLOSED && isForwarded)) {
            violations.add("lost: " + result);
        }
        if (result.ending() == Ending.FOREIGN_RESPONSE) {
            violations.add("response to another request: " + result);
        }
        if (result.isOrder() && count > 1) {
            violations.add("executed " + count + " times: " + result);
        }
        if (result.isOrder() && result.status() == REJECTED && count > 0) {
            violations.add("rejected and executed: " + result);
        }
    }

    private void checkLog(String log) {
        if (log.contains("OutOfMemoryError") || log.contains("unexpected") || log.contains("Exception:")) {
            violations.add("error in the log:\n" + log);
        }
    }
}

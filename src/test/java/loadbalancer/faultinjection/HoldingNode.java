package loadbalancer.faultinjection;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;

import loadbalancer.faultinjection.StandInDiscovery.Fault;
import loadbalancer.testsupport.HttpMessages;

/** A node in its own process, with a discovery and two endpoints that hold requests ({@link HoldingUpstream}). */
final class HoldingNode implements AutoCloseable {
    /** The remaining time of requests, with its unit. */
    static final String REMAINING = "2000m";

    private static final int RESPONSE_TIMEOUT_MS = 3_000;
    private static final int OK = 200;

    private final HoldingUpstream first = new HoldingUpstream();
    private final HoldingUpstream second = new HoldingUpstream();
    private final StandInDiscovery discovery;
    private final ProxyProcess process;

    /** Starts the node, and waits until it has its lease on the endpoint list and serves requests. */
    HoldingNode(Path folder) throws Exception {
        EndpointListHistory history = new EndpointListHistory();
        history.add("e1", first.address());
        history.add("e2", second.address());
        discovery = new StandInDiscovery(history, call -> Fault.NONE);
        process = new ProxyProcess(folder, 1, history.completeList(0, true), discovery.address());
        process.awaitListening();
        int requests = 0;
        while (ask(HttpMessages.page("/api/page", HoldingUpstream.SERVED_PREFIX + requests, REMAINING)) != OK) {
            requests++;
        }
    }

    ProxyProcess process() {
        return process;
    }

    Socket connect() throws IOException {
        Socket client =
                new Socket(process.address().getAddress(), process.address().getPort());
        client.setSoTimeout(RESPONSE_TIMEOUT_MS);
        return client;
    }

    /** Sends a request on a connection of its own, and returns the status of the response. */
    int ask(String request) throws IOException {
        try (Socket client = connect()) {
            client.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
            return HttpMessages.read(client.getInputStream()).status();
        }
    }

    /** Returns the requests that have arrived at an endpoint, of those whose ids begin so. */
    List<HoldingUpstream.Arrival> arrivals(String idPrefix) {
        return Stream.concat(first.arrivals().stream(), second.arrivals().stream())
                .filter(arrival -> arrival.requestId().startsWith(idPrefix))
                .toList();
    }

    @Override
    public void close() throws IOException {
        process.close();
        discovery.close();
        first.close();
        second.close();
    }
}

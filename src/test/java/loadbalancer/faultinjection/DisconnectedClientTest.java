package loadbalancer.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import loadbalancer.testsupport.HttpMessages;

/** Guards against requests that a node forwards, or executes twice, after their clients have disconnected. */
@Timeout(60)
class DisconnectedClientTest {
    /** The time that the protocol allows between the close of a client and the last attempt for it. */
    private static final long ALLOWED_AFTER_CLOSE_MS = 100;

    private static final long CONNECTED_MS = 100;
    /** Long enough for three attempts that are held, each followed by those of the next request. */
    private static final long OBSERVED_MS = 2_000;

    private static final String REMAINING = "2000m";
    private static final int OK = 200;

    /** What a client sends before it disconnects. The first request is under way at an endpoint by then. */
    enum Departure {
        /** As many requests as showed two late ones on a connection in the records of the incident. */
        PIPELINED_REQUESTS {
            @Override
            String input() {
                return requests(19);
            }
        },
        /** A reset instead of a close. */
        PIPELINED_REQUESTS_RESET {
            @Override
            String input() {
                return requests(19);
            }

            @Override
            void leave(SocketChannel client) throws IOException {
                client.socket().setSoLinger(true, 0);
                client.close();
            }
        },
        PIPELINED_BODIES {
            @Override
            String input() {
                String body = "b".repeat(40_000);
                return requests(1)
                        + HttpMessages.order("late-a", REMAINING, body).repeat(4);
            }
        },
        /** More bytes than the buffers of the sockets hold. */
        MANY_REQUESTS {
            @Override
            String input() {
                return requests(60_000);
            }
        },
        SINGLE_REQUEST_RESET {
            @Override
            String input() {
                return requests(1);
            }

            @Override
            void leave(SocketChannel client) throws IOException {
                PIPELINED_REQUESTS_RESET.leave(client);
            }
        },
        INCOMPLETE_REQUEST_BEHIND {
            @Override
            String input() {
                String chunked = HttpMessages.order("late-chunked", REMAINING, "")
                        .replace("Content-Length: 0", "Transfer-Encoding: chunked");
                return requests(1) + chunked + ("1;" + "e".repeat(3_900) + "\r\nx\r\n").repeat(100);
            }
        },
        INVALID_REQUEST_BEHIND {
            @Override
            String input() {
                return requests(18) + "NOT A REQUEST\r\n\r\n" + "x".repeat(3_000_000);
            }
        },
        /** Nothing behind the last request of a connection is served, but the end of the stream may be there. */
        BYTES_BEHIND_THE_LAST_REQUEST {
            @Override
            String input() {
                String last = requests(1).replace("\r\n\r\n", "\r\nConnection: close\r\n\r\n");
                return last + requests(5_000);
            }
        },
        /** The node is suspended while the client connects and disconnects, as on a busy machine. */
        SUSPENDED_NODE {
            @Override
            String input() {
                return requests(19);
            }

            @Override
            boolean suspendsNode() {
                return true;
            }
        },
        /** The node shuts down gracefully, and serves open connections for a while. */
        SHUTDOWN {
            @Override
            String input() {
                return requests(19);
            }

            @Override
            boolean terminatesNode() {
                return true;
            }
        };

        abstract String input();

        void leave(SocketChannel client) throws IOException {
            client.close();
        }

        boolean suspendsNode() {
            return false;
        }

        boolean terminatesNode() {
            return false;
        }

        static String requests(int count) {
            StringBuilder requests = new StringBuilder();
            for (int i = 0; i < count; i++) {
                requests.append(HttpMessages.page("/api/page", "late-" + i, REMAINING));
            }
            return requests.toString();
        }
    }

    @TempDir
    Path folder;

    private HoldingNode holdingNode;
    private ProxyProcess node;

    @BeforeEach
    void startNode() throws Exception {
        holdingNode = new HoldingNode(folder);
        node = holdingNode.process();
    }

    @AfterEach
    void stopNode() throws IOException {
        holdingNode.close();
    }

    /** Writes what the socket takes until the client leaves. A client that leaves does not wait for the rest. */
    private static void writeUntil(long endNanos, SocketChannel client, String input) throws Exception {
        client.configureBlocking(false);
        ByteBuffer bytes = ByteBuffer.wrap(input.getBytes(StandardCharsets.ISO_8859_1));
        while (System.nanoTime() < endNanos) {
            client.write(bytes);
            Thread.sleep(1);
        }
    }

    @ParameterizedTest
    @EnumSource(Departure.class)
    void nothingIsForwardedAfterTheClientHasDisconnected(Departure departure) throws Exception {
        if (departure.terminatesNode()) {
            node.signal("TERM");
        }
        if (departure.suspendsNode()) {
            node.signal("STOP");
        }
        SocketChannel client = SocketChannel.open(node.address());
        writeUntil(System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(CONNECTED_MS), client, departure.input());
        departure.leave(client);
        long leftAtNanos = System.nanoTime();
        if (departure.suspendsNode()) {
            node.signal("CONT");
        }
        Thread.sleep(OBSERVED_MS);
        List<String> late = holdingNode.arrivals("late-").stream()
                .filter(arrival -> afterMs(leftAtNanos, arrival) > ALLOWED_AFTER_CLOSE_MS)
                .map(arrival -> arrival.requestId() + " " + afterMs(leftAtNanos, arrival) + " ms after the close")
                .toList();
        assertEquals(List.of(), late, node.log());
        if (!departure.terminatesNode()) {
            String next = HoldingUpstream.SERVED_PREFIX + "next";
            assertEquals(OK, holdingNode.ask(HttpMessages.page("/api/page", next, REMAINING)), node.log());
        }
    }

    private static long afterMs(long leftAtNanos, HoldingUpstream.Arrival arrival) {
        return TimeUnit.NANOSECONDS.toMillis(arrival.atNanos() - leftAtNanos);
    }
}

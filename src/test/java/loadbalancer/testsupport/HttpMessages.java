package loadbalancer.testsupport;

import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

/** Creates HTTP/1.1 messages as text, and reads them, for the clients and endpoints of a proxy under test. */
public final class HttpMessages {
    /** A readiness check of a node. */
    public static final String READINESS_REQUEST = "GET /up HTTP/1.1\r\nHost: h\r\n\r\n";

    private HttpMessages() {}

    /**
     * A request or response.
     *
     * @param startLine the request line or status line
     * @param headers the values of the headers, by their names in lower case
     * @param body the body, which may be empty
     */
    public record Message(String startLine, Map<String, String> headers, String body) {
        /** Returns the status code of this response. */
        public int status() {
            return Integer.parseInt(startLine.split(" ", 3)[1]);
        }

        /** Returns the target of this request. */
        public String path() {
            return startLine.split(" ", 3)[1];
        }
    }

    /**
     * Reads one message. Its body ends after {@code Content-Length} bytes, and is empty without that header.
     *
     * @throws EOFException if the connection ends before the message does
     */
    public static Message read(InputStream in) throws IOException {
        String startLine = readLine(in);
        Map<String, String> headers = new TreeMap<>();
        for (String line = readLine(in); !line.isEmpty(); line = readLine(in)) {
            int colon = line.indexOf(':');
            headers.put(
                    line.substring(0, colon).toLowerCase(Locale.ROOT),
                    line.substring(colon + 1).strip());
        }
        int bodyBytes = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        byte[] body = in.readNBytes(bodyBytes);
        if (body.length < bodyBytes) {
            throw new EOFException(
                    "connection ended after " + body.length + " of " + bodyBytes + " bytes of the body: " + startLine);
        }
        return new Message(startLine, headers, new String(body, StandardCharsets.UTF_8));
    }

    private static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                throw new EOFException(
                        "connection ended within a line, after: " + line.toString(StandardCharsets.UTF_8));
            }
            line.write(b);
        }
        return line.toString(StandardCharsets.UTF_8).stripTrailing();
    }

    /** Returns a response with status 200. */
    public static String ok(String body) {
        return response("200 OK", "", body);
    }

    /**
     * Returns a response.
     *
     * @param status the status code and reason phrase
     * @param headers further header lines, each with its CRLF
     */
    public static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    /** Returns a request of the idempotent class with 20 seconds until its deadline. */
    public static String page(String txn) {
        return page("/api/page", txn, "20000m");
    }

    /** Returns a request of the idempotent class. The remaining time includes its unit. */
    public static String page(String uri, String txn, String remaining) {
        return "GET " + uri + " HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: page\r\nX-Org: org\r\nX-Remaining: " + remaining + "\r\n\r\n";
    }

    /** Returns a request of the non-idempotent class. The remaining time includes its unit. */
    public static String order(String txn, String remaining) {
        return order(txn, remaining, "ab");
    }

    /** Returns a request of the non-idempotent class with this body. The remaining time includes its unit. */
    public static String order(String txn, String remaining, String body) {
        return "POST /api/order HTTP/1.1\r\nHost: backend.local\r\nX-Txn: " + txn
                + "\r\nX-Lane: order\r\nX-Org: org\r\nX-Remaining: " + remaining
                + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }
}

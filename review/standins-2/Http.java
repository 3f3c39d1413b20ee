import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.TreeMap;

/** Reads HTTP/1.1 messages with a Content-Length, and accepts connections on free loopback ports. */
final class Http {
    /** A request or a response. */
    record Message(String firstLine, Map<String, String> headers, String body) {
        String header(String name) {
            return headers.get(name);
        }

        int status() {
            return Integer.parseInt(firstLine.split(" ")[1]);
        }
    }

    /** Handles one connection. */
    interface Handler {
        void handle(Socket socket) throws Exception;
    }

    private Http() {}

    static InputStream input(Socket socket) throws IOException {
        return new BufferedInputStream(socket.getInputStream());
    }

    /** Returns the next message, or null if the connection ends before its first byte. */
    static Message read(InputStream in) throws IOException {
        String firstLine = readLine(in, true);
        if (firstLine == null) {
            return null;
        }
        Map<String, String> headers = new TreeMap<>(String.CASE_INSENSITIVE_ORDER);
        String line;
        while (!(line = readLine(in, false)).isEmpty()) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon), line.substring(colon + 1).trim());
        }
        int length = Integer.parseInt(headers.getOrDefault("Content-Length", "0"));
        byte[] body = in.readNBytes(length);
        if (body.length < length) {
            throw new EOFException("the connection ends inside a body");
        }
        return new Message(firstLine, headers, new String(body, StandardCharsets.ISO_8859_1));
    }

    private static String readLine(InputStream in, boolean mayEnd) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        int next;
        while ((next = in.read()) != '\n') {
            if (next < 0) {
                if (mayEnd && line.size() == 0) {
                    return null;
                }
                throw new EOFException("the connection ends inside a head");
            }
            if (next != '\r') {
                line.write(next);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }

    static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
    }

    static String response(String status, String headers, String body) {
        return "HTTP/1.1 " + status + "\r\n" + headers + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static Socket connect(int port) throws IOException {
        Socket socket = new Socket(InetAddress.getLoopbackAddress(), port);
        socket.setTcpNoDelay(true);
        return socket;
    }

    /** Accepts connections until the process ends or the returned socket is closed. */
    static ServerSocket listen(Handler handler) throws IOException {
        return listen(0, handler);
    }

    static ServerSocket listen(int port, Handler handler) throws IOException {
        ServerSocket listener = new ServerSocket(port, 512, InetAddress.getLoopbackAddress());
        thread(() -> {
            while (true) {
                Socket socket;
                try {
                    socket = listener.accept();
                } catch (SocketException e) {
                    return;
                }
                socket.setTcpNoDelay(true);
                thread(() -> {
                    try (socket) {
                        handler.handle(socket);
                    } catch (IOException e) {
                        // The peer has closed or reset the connection.
                    }
                });
            }
        });
        return listener;
    }

    static int freePort() throws IOException {
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return free.getLocalPort();
        }
    }

    /** Work that may throw. */
    interface Work {
        void run() throws Exception;
    }

    static Thread thread(Work work) {
        Thread thread = new Thread(() -> {
            try {
                work.run();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } catch (Exception e) {
                Case.cannotRun(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }
}

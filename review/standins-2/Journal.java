import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** Writes what was sent, answered and run to record.txt, each line with the milliseconds since the start. */
final class Journal {
    private final PrintWriter out;
    private final long startedAt = System.nanoTime();

    Journal(Path folder) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(folder.resolve("record.txt")), true);
    }

    double seconds() {
        return (System.nanoTime() - startedAt) / 1e9;
    }

    synchronized void write(String line) {
        out.printf("%9.1f %s%n", seconds() * 1_000, line);
    }
}

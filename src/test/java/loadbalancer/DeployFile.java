package loadbalancer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

/** Reads the entries of the deploy file that tests use. */
public final class DeployFile {
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]*)\"");

    private DeployFile() {}

    /** Returns the command that starts a node. */
    public static String runCommand() throws IOException {
        String entry = findEntry("run");
        return entry.substring(entry.indexOf('"') + 1, entry.lastIndexOf('"'));
    }

    /** Returns the source files of the decision module. */
    static List<Path> policyFiles() throws IOException {
        return QUOTED.matcher(findEntry("policy"))
                .results()
                .map(file -> Path.of(file.group(1)))
                .toList();
    }

    private static String findEntry(String key) throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith(key + " = "))
                .findFirst()
                .orElseThrow();
    }
}

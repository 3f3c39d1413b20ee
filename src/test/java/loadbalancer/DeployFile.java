package loadbalancer;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Pattern;

/** The entries of the deploy file that tests need. */
public final class DeployFile {
    private static final Pattern QUOTED = Pattern.compile("\"([^\"]*)\"");

    private DeployFile() {}

    /** The command that starts a node. */
    public static String runCommand() throws IOException {
        String run = line("run");
        return run.substring(run.indexOf('"') + 1, run.lastIndexOf('"'));
    }

    /** The files that hold the decisions. */
    static List<Path> policyFiles() throws IOException {
        return QUOTED.matcher(line("policy"))
                .results()
                .map(file -> Path.of(file.group(1)))
                .toList();
    }

    private static String line(String key) throws IOException {
        return Files.readAllLines(Path.of("deploy/balancer.toml")).stream()
                .filter(line -> line.startsWith(key + " = "))
                .findFirst()
                .orElseThrow();
    }
}

package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import org.junit.jupiter.api.Test;

/** How the deploy file starts a node. */
class DeployTest {

    /** A node has one core, however many the machine below has: more threads only wake each other. */
    @Test
    void theJvmOfANodeHasOneCompilerThread() throws Exception {
        String run = DeployFile.runCommand();
        String options = run.substring(run.indexOf("java ") + "java ".length(), run.indexOf(" -jar "));
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(List.of(options.split(" ")));
        command.addAll(List.of("-XX:+PrintFlagsFinal", "-version"));
        Process java = new ProcessBuilder(command).redirectErrorStream(true).start();
        String flags = new String(java.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, java.waitFor(), flags);
        String count = flags.lines()
                .filter(line -> line.contains(" CICompilerCount "))
                .findFirst()
                .orElseThrow();
        assertEquals("1", count.replaceAll(".*= *([0-9]+).*", "$1"), count);
    }

    @Test
    void thePolicyFilesAreAllOfTheDecisionModule() throws Exception {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/loadbalancer/policy"))) {
            Set<Path> sources = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.endsWith("package-info.java"))
                    .collect(Collectors.toSet());
            assertEquals(sources, Set.copyOf(DeployFile.policyFiles()));
        }
    }
}

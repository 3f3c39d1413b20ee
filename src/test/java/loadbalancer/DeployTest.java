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

/** Tests the command that starts a node and the list of policy files in the deploy file. */
class DeployTest {

    /**
     * A node runs on one core, however many cores its machine has. Several compiler threads on that core would only
     * wake each other.
     */
    @Test
    void jvmOfNodeHasOneCompilerThread() throws Exception {
        String runCommand = DeployFile.runCommand();
        String options =
                runCommand.substring(runCommand.indexOf("java ") + "java ".length(), runCommand.indexOf(" -jar "));
        List<String> command = new ArrayList<>();
        command.add(ProcessHandle.current().info().command().orElseThrow());
        command.addAll(List.of(options.split(" ")));
        command.addAll(List.of("-XX:+PrintFlagsFinal", "-version"));
        Process jvm = new ProcessBuilder(command).redirectErrorStream(true).start();
        String flags = new String(jvm.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertEquals(0, jvm.waitFor(), flags);
        String compilerThreadCount = flags.lines()
                .filter(line -> line.contains(" CICompilerCount "))
                .findFirst()
                .orElseThrow();
        assertEquals("1", compilerThreadCount.replaceAll(".*= *([0-9]+).*", "$1"), compilerThreadCount);
    }

    @Test
    void policyEntryListsAllSourceFilesOfDecisionModule() throws Exception {
        try (Stream<Path> files = Files.walk(Path.of("src/main/java/loadbalancer/policy"))) {
            Set<Path> sources = files.filter(file -> file.toString().endsWith(".java"))
                    .filter(file -> !file.endsWith("package-info.java"))
                    .collect(Collectors.toSet());
            assertEquals(sources, Set.copyOf(DeployFile.policyFiles()));
        }
    }
}

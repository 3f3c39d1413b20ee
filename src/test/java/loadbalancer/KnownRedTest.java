package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Tests which tests {@code .ci/known-red} reads from KNOWN-RED.txt, and which contents make the file invalid. The script
 * {@code .ci/run} runs the listed tests apart from the others.
 */
class KnownRedTest {
    private static final String ENTRY = entry("KnownRedTest#listedTestsAreWrittenOut");

    @TempDir
    Path directory;

    private record ScriptResult(int exitCode, String output) {}

    private static String entry(String test) {
        return "test: " + test + "\ncommand: mvn -B test -Dtest=" + test
                + "\nseed: none\nseen: 3 instead of 4\nissue: 12\n";
    }

    private ScriptResult readKnownRed(String... entries) throws IOException, InterruptedException {
        return readKnownRed(Files.writeString(directory.resolve("KNOWN-RED.txt"), String.join("\n", entries)));
    }

    private static ScriptResult readKnownRed(Path list) throws IOException, InterruptedException {
        Process script = new ProcessBuilder("bash", ".ci/known-red", list.toString(), "src/test/java")
                .redirectErrorStream(true)
                .start();
        String output = new String(script.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return new ScriptResult(script.waitFor(), output);
    }

    @Test
    void missingFileListsNoTests() throws Exception {
        assertEquals(new ScriptResult(0, ""), readKnownRed(directory.resolve("none.txt")));
    }

    @Test
    void listedTestsAreWrittenOut() throws Exception {
        assertEquals(
                new ScriptResult(0, "KnownRedTest#listedTestsAreWrittenOut\nMinimalUsageTest#aRequestIsSentAndServed"),
                readKnownRed(ENTRY, entry("MinimalUsageTest#aRequestIsSentAndServed")));
    }

    @Test
    void moreThanThreeEntriesAreInvalid() throws Exception {
        assertEquals(1, readKnownRed(ENTRY, ENTRY, ENTRY, ENTRY).exitCode());
        assertEquals(0, readKnownRed(ENTRY, ENTRY, ENTRY, "").exitCode());
    }

    @Test
    void entryForNonexistentTestIsInvalid() throws Exception {
        assertEquals(1, readKnownRed(entry("KnownRedTest#noSuchTest")).exitCode());
        assertEquals(
                1, readKnownRed(entry("NoSuchTest#listedTestsAreWrittenOut")).exitCode());
        // A helper method of a test class is not a test.
        assertEquals(1, readKnownRed(entry("MinimalUsageTest#startAttempt")).exitCode());
    }

    @Test
    void entryWithoutOneOfItsFieldsIsInvalid() throws Exception {
        for (String field : ENTRY.split("\n", -1)) {
            if (!field.isEmpty()) {
                assertEquals(1, readKnownRed(ENTRY.replace(field + "\n", "")).exitCode(), "without " + field);
            }
        }
    }

    @Test
    void fieldWithInvalidValueIsInvalid() throws Exception {
        assertEquals(1, readKnownRed(ENTRY.replace("3 instead of 4", "")).exitCode());
        assertEquals(1, readKnownRed(ENTRY.replace("12", "later")).exitCode());
    }
}

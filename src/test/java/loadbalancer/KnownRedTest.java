package loadbalancer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Which tests {@code .ci/run} passes over: those that KNOWN-RED.txt lists, if the file is valid. */
class KnownRedTest {
    private static final String ENTRY = entry("KnownRedTest#listedTestsAreNamed");

    @TempDir
    Path folder;

    private record Reading(int exitCode, String output) {}

    private static String entry(String test) {
        return "test: " + test + "\ncommand: mvn -B test -Dtest=" + test
                + "\nseed: none\nseen: 3 instead of 4\nissue: 12\n";
    }

    private Reading read(String... entries) throws IOException, InterruptedException {
        return read(Files.writeString(folder.resolve("KNOWN-RED.txt"), String.join("\n", entries)));
    }

    private static Reading read(Path list) throws IOException, InterruptedException {
        Process reading = new ProcessBuilder("bash", ".ci/known-red", list.toString(), "src/test/java")
                .redirectErrorStream(true)
                .start();
        String output = new String(reading.getInputStream().readAllBytes(), StandardCharsets.UTF_8).strip();
        return new Reading(reading.waitFor(), output);
    }

    @Test
    void noFileMeansNone() throws Exception {
        assertEquals(new Reading(0, ""), read(folder.resolve("none.txt")));
    }

    @Test
    void listedTestsAreNamed() throws Exception {
        assertEquals(
                new Reading(0, "KnownRedTest#listedTestsAreNamed\nMinimalUsageTest#aRequestIsSentAndServed"),
                read(ENTRY, entry("MinimalUsageTest#aRequestIsSentAndServed")));
    }

    @Test
    void moreThanThreeEntriesAreRejected() throws Exception {
        assertEquals(1, read(ENTRY, ENTRY, ENTRY, ENTRY).exitCode());
        assertEquals(0, read(ENTRY, ENTRY, ENTRY, "").exitCode());
    }

    @Test
    void aNameThatNoTestHasIsRejected() throws Exception {
        assertEquals(1, read(entry("KnownRedTest#noSuchTest")).exitCode());
        assertEquals(1, read(entry("NoSuchTest#listedTestsAreNamed")).exitCode());
        // A helper method of a test class is not a test.
        assertEquals(1, read(entry("MinimalUsageTest#startAttempt")).exitCode());
    }

    @Test
    void anEntryWithoutOneOfItsFieldsIsRejected() throws Exception {
        for (String field : ENTRY.split("\n", -1)) {
            if (!field.isEmpty()) {
                assertEquals(1, read(ENTRY.replace(field + "\n", "")).exitCode(), "without " + field);
            }
        }
    }

    @Test
    void aFieldWithoutAValueIsRejected() throws Exception {
        assertEquals(1, read(ENTRY.replace("3 instead of 4", "")).exitCode());
        assertEquals(1, read(ENTRY.replace("12", "later")).exitCode());
    }
}

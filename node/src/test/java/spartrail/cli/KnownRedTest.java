package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The script that CI runs, with a stand-in for Maven that notes its calls: the test ATest#red fails, all others pass. */
class KnownRedTest {
    private static final String MAVEN =
            """
            #!/bin/sh
            for arg in "$@"; do
                case $arg in
                -Dsurefire.excludesFile=*) echo "verify without $(cat "${arg#*=}")" >> calls; exit 0 ;;
                -Dtest=*) echo "$arg" >> calls; echo 'Tests run: 1'; [ "$arg" != '-Dtest=ATest#red' ]; exit ;;
                esac
            done
            echo "$*" >> calls
            """;

    @TempDir
    private Path root;

    private String run(String known) throws IOException, InterruptedException {
        Path script = root.resolve(".ci/run");
        Path maven = root.resolve("bin/mvn");
        Path test = root.resolve("node/src/test/java/a/ATest.java");
        for (Path file : new Path[] {script, maven, test}) {
            Files.createDirectories(file.getParent());
        }
        Files.copy(Path.of(".ci/run"), script, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        Files.writeString(maven, MAVEN);
        assertThat(maven.toFile().setExecutable(true)).isTrue();
        Files.writeString(test, "class ATest { void red() {} void green() {} }");
        Files.writeString(root.resolve("KNOWN-RED.txt"), known);
        Files.deleteIfExists(root.resolve("calls"));
        ProcessBuilder builder = new ProcessBuilder("bash", script.toString()).redirectErrorStream(true);
        builder.environment().putAll(Map.of("PATH", maven.getParent() + ":" + System.getenv("PATH")));
        Process process = builder.start();
        String said = new String(process.getInputStream().readAllBytes()).strip();
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        Path calls = root.resolve("calls");
        return process.exitValue() + " " + said + "; "
                + (Files.exists(calls) ? Files.readString(calls).strip() : "no call");
    }

    @Test
    void passesOverExactlyWhatIsKnownToBeRed() throws Exception {
        String red = "ATest#red | a cause | an issue\n";
        assertThat(String.join(
                        "\n",
                        run(""),
                        run(red),
                        run(red.strip()),
                        run("ATest#green | a cause | an issue\n"),
                        run("ATest#none | a cause | an issue\n"),
                        run("BTest#red | a cause | an issue\n"),
                        run("ATest#red\n"),
                        run(red.repeat(4))))
                .isEqualTo(
                        """
                0 ; -B verify
                0 known to be red, passed over: ATest#red | a cause | an issue; -Dtest=ATest#red
                verify without **/ATest#red
                0 known to be red, passed over: ATest#red | a cause | an issue; -Dtest=ATest#red
                verify without **/ATest#red
                1 KNOWN-RED.txt: ATest#green passes, its line is to go; -Dtest=ATest#green
                1 KNOWN-RED.txt: there is no test ATest#none; no call
                1 KNOWN-RED.txt: there is no test BTest#red; no call
                1 KNOWN-RED.txt: found 'ATest#red', 'TestClass#method | cause | issue' is expected; no call
                1 KNOWN-RED.txt: found 4 lines, 3 at most are expected; no call""");
    }
}

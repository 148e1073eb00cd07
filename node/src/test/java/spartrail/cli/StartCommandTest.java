package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** Runs the start command with a PATH that has only a shell and a fake JVM, so that it could start no other program. */
class StartCommandTest {
    @TempDir
    private Path dir;

    /** Returns status and output of the start command; "same process" if the JVM has replaced the shell's process. */
    private String runStartCommand(String configuration) throws IOException, InterruptedException {
        Path bin = Files.createDirectories(dir.resolve("bin"));
        Path java = bin.resolve("java");
        // The fake JVM prints its process id and its heap option.
        Files.writeString(java, "#!/bin/sh\necho $$\nfor word; do case $word in -Xmx*) echo \"$word\" ;; esac; done\n");
        assertThat(java.toFile().setExecutable(true)).isTrue();
        Path file = dir.resolve("configuration.json");
        if (configuration != null) {
            Files.writeString(file, configuration);
        }
        ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", "exec sh deploy/run.sh");
        builder.redirectErrorStream(true);
        Path sh = bin.resolve("sh");
        if (!Files.exists(sh)) {
            Files.createSymbolicLink(sh, Path.of("/bin/sh"));
        }
        builder.environment().put("PATH", bin.toString());
        builder.environment().put("BALANCER_CONFIG", file.toString());
        Process process = builder.start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + " "
                + output.replace("\n", " ").strip().replace(process.pid() + " ", "same process ");
    }

    @Test
    void theHeapIsSizedByTheConfiguredMemoryWithoutStartingOtherPrograms() throws Exception {
        assertThat(runStartCommand(
                        "{\n \"name\": \"n1\",\n \"limits\": {\"cores\": 1.0, \"memory_mb\" : 96, \"sockets\": 256}}"))
                .isEqualTo("0 same process -Xmx24m");
        assertThat(runStartCommand("{\"limits\":{\"memory_mb\":64.0}}")).isEqualTo("0 same process -Xmx10m");
        assertThat(runStartCommand("{\"limits\":{\"sockets\":256}}")).isEqualTo("0 same process -Xmx48m");
        Files.delete(dir.resolve("configuration.json"));
        assertThat(runStartCommand(null)).isEqualTo("0 same process -Xmx48m");
    }

    @Test
    void aMemoryLimitThatIsTooSmallIsReportedInOneLine() throws Exception {
        assertThat(runStartCommand("{\"limits\":{\"memory_mb\":8}}"))
                .isEqualTo("2 limits.memory_mb: found 8, 16 or more is expected for a JVM to start in");
    }
}

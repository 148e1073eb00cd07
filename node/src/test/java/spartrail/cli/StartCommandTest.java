package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** The start command, where no program but the JVM's stand-in can be found: another one would not start. */
class StartCommandTest {
    @TempDir
    private Path dir;

    /** How the start ended: status, what it said, and whether the JVM runs in the very process that was started. */
    private String start(String configuration) throws IOException, InterruptedException {
        Path bin = Files.createDirectories(dir.resolve("bin"));
        Path java = bin.resolve("java");
        // The stand-in says its process and its heap.
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
        String said = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        return process.waitFor() + " " + said.replace("\n", " ").strip().replace(process.pid() + " ", "same process ");
    }

    @Test
    void startsNoOtherProgramAndSizesTheHeapByTheStatedMemory() throws Exception {
        assertThat(start("{\n \"name\": \"n1\",\n \"limits\": {\"cores\": 1.0, \"memory_mb\" : 96, \"sockets\": 256}}"))
                .isEqualTo("0 same process -Xmx24m");
        assertThat(start("{\"limits\":{\"memory_mb\":64.0}}")).isEqualTo("0 same process -Xmx10m");
        assertThat(start("{\"limits\":{\"sockets\":256}}")).isEqualTo("0 same process -Xmx48m");
        Files.delete(dir.resolve("configuration.json"));
        assertThat(start(null)).isEqualTo("0 same process -Xmx48m");
    }

    @Test
    void aMemoryLimitTooSmallToStartInIsOneLine() throws Exception {
        assertThat(start("{\"limits\":{\"memory_mb\":8}}"))
                .isEqualTo("2 limits.memory_mb: found 8, 16 or more is expected for a JVM to start in");
    }
}

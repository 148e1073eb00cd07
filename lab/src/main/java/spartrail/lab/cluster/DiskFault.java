package spartrail.lab.cluster;

import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;

/** Damages or restores the policy log of a node while the node is down. */
final class DiskFault {
    private static final String LOG = "policy.log";

    private DiskFault() {}

    static void apply(Path folder, int node, String faultKind) throws IOException {
        Path stateFolder = folder.resolve("n" + node + ".state");
        Path log = stateFolder.resolve(LOG);
        Path backup = stateFolder.resolve(LOG + ".kept");
        switch (faultKind) {
            case "full" -> {}
                // Leaves what a crash during a write leaves: the beginning of a record that was never synced.
            case "torn" -> Files.write(log, new byte[] {0, 0, 0, 100, 1, 2, 3, 4, 5, 6, 7}, StandardOpenOption.APPEND);
            case "flipped" -> {
                Files.copy(log, backup, StandardCopyOption.REPLACE_EXISTING);
                byte[] bytes = Files.readAllBytes(log);
                bytes[bytes.length / 2] ^= 0x10;
                Files.write(log, bytes);
            }
            case "lost" -> Files.move(log, backup, StandardCopyOption.REPLACE_EXISTING);
            case "swapped" -> {
                Files.copy(log, backup, StandardCopyOption.REPLACE_EXISTING);
                Files.copy(
                        folder.resolve("n" + (node + 1) % 3 + ".state").resolve(LOG),
                        log,
                        StandardCopyOption.REPLACE_EXISTING);
            }
            case "mended" -> {
                // Only faults that make the node refuse its log leave a backup, so no record was added since.
                if (Files.exists(backup)) {
                    Files.move(backup, log, StandardCopyOption.REPLACE_EXISTING);
                    try (FileChannel channel = FileChannel.open(log, StandardOpenOption.WRITE)) {
                        channel.force(true);
                    }
                }
            }
            default -> throw new IllegalArgumentException(
                    "found disk fault '" + faultKind + "', expected full, torn, flipped, lost, swapped or mended");
        }
    }
}

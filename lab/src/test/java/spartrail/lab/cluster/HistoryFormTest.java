package spartrail.lab.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.lab.Forms;
import spartrail.lab.rules.PeersRules;
import spartrail.lab.rules.PolicyRules;

/** A history that version d4872eb wrote, each kind of line, is read, judged and written back as before. */
class HistoryFormTest {
    private static final int NODES = 4;

    @TempDir
    private Path folder;

    private Path file;
    private List<ClusterHistory.Line> lines;

    @BeforeEach
    void readTheKeptHistory() throws Exception {
        file = Files.write(folder.resolve("history.jsonl"), Forms.bytes("history.jsonl"));
        lines = ClusterHistory.kept(file);
    }

    private static String unclocked(String text) {
        return text.replaceAll("\\{\"ns\":[0-9]+", "{\"ns\":0");
    }

    @Test
    void eachKindOfLineIsRead() {
        TreeMap<String, Integer> kinds = new TreeMap<>();
        lines.forEach(line -> kinds.merge((line.node() < 0 ? "rig " : "node ") + line.what(), 1, Integer::sum));
        assertThat(kinds.toString() + "\n").isEqualTo(text("history-kinds.txt"));
    }

    private static String text(String name) {
        try {
            return Forms.text(name);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void linesOfNodesAreWrittenBackWithTheSameBytes() throws Exception {
        List<String> kept = new ArrayList<>(Files.readAllLines(file));
        kept.removeIf(text -> text.contains("\"node\":\"rig\""));
        ClusterHistory history = new ClusterHistory();
        for (int node = 0; node < NODES; node++) {
            String name = "n" + node;
            List<String> own = new ArrayList<>(kept);
            own.removeIf(text -> !text.contains("\"node\":\"" + name + "\""));
            history.follow(node, Files.write(folder.resolve(name), own));
        }
        assertThat(history.more()).hasSize(kept.size());
        assertThat(history.text()).isEqualTo(String.join("\n", kept) + "\n");
    }

    @Test
    void linesOfTheRigAreWrittenBackWithTheSameBytes() throws Exception {
        ClusterHistory history = new ClusterHistory();
        for (ClusterHistory.Line line : lines) {
            if (line.node() < 0) {
                ObjectNode tree = line.tree().deepCopy();
                history.done(line.what(), tree.without(List.of("ns", "what", "node")));
            }
        }
        List<String> kept = new ArrayList<>(Files.readAllLines(file));
        kept.removeIf(text -> !text.contains("\"node\":\"rig\""));
        assertThat(unclocked(history.text())).isEqualTo(unclocked(String.join("\n", kept) + "\n"));
    }

    @Test
    void itIsJudgedAsBefore() {
        PeersRules peers = new HistoryChecker(NODES).read(lines, true);
        PolicyRules policy = new PolicyHistoryChecker(
                        NODES, List.of(0, 1, 2), new PolicyRules.Bounds(2000, 60_000, 90_000))
                .read(
                        lines,
                        List.of(new PolicyRules.MultigetDecision(
                                lines.get(lines.size() - 1).ns(), 0, 1, "5")));
        assertThat(peers.judgedChanges() + " asked\n" + peers.breaches() + "\n" + peers.detectionTimesMs() + "\n"
                        + policy.judged() + " judged\n" + policy.breaches() + "\n")
                .isEqualTo(text("history-judged.txt"));
    }
}

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

/**
 * Checks that a stored history, which version d4872eb wrote and which has each kind of line, is read, checked and
 * written back unchanged.
 */
class HistoryFormTest {
    private static final int NODES = 4;

    @TempDir
    private Path folder;

    private Path file;
    private List<ClusterHistory.Line> lines;

    @BeforeEach
    void readStoredHistory() throws Exception {
        file = Files.write(folder.resolve("history.jsonl"), Forms.bytes("history.jsonl"));
        lines = ClusterHistory.readMerged(file);
    }

    private static String withoutTimes(String text) {
        return text.replaceAll("\\{\"ns\":[0-9]+", "{\"ns\":0");
    }

    @Test
    void eachKindOfLineIsRead() {
        TreeMap<String, Integer> countsByKind = new TreeMap<>();
        lines.forEach(line -> countsByKind.merge((line.node() < 0 ? "rig " : "node ") + line.event(), 1, Integer::sum));
        assertThat(countsByKind.toString() + "\n").isEqualTo(readForm("history-kinds.txt"));
    }

    private static String readForm(String name) {
        try {
            return Forms.text(name);
        } catch (java.io.IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void linesOfNodesAreWrittenBackWithTheSameBytes() throws Exception {
        List<String> storedLines = new ArrayList<>(Files.readAllLines(file));
        storedLines.removeIf(text -> text.contains("\"node\":\"rig\""));
        ClusterHistory history = new ClusterHistory();
        for (int node = 0; node < NODES; node++) {
            String name = "n" + node;
            List<String> nodeLines = new ArrayList<>(storedLines);
            nodeLines.removeIf(text -> !text.contains("\"node\":\"" + name + "\""));
            history.follow(node, Files.write(folder.resolve(name), nodeLines));
        }
        assertThat(history.readNewLines()).hasSize(storedLines.size());
        assertThat(history.toJsonLines()).isEqualTo(String.join("\n", storedLines) + "\n");
    }

    @Test
    void linesOfTheHarnessAreWrittenBackWithTheSameBytes() throws Exception {
        ClusterHistory history = new ClusterHistory();
        for (ClusterHistory.Line line : lines) {
            if (line.node() < 0) {
                ObjectNode tree = line.tree().deepCopy();
                history.recordHarnessEvent(line.event(), tree.without(List.of("ns", "what", "node")));
            }
        }
        List<String> storedLines = new ArrayList<>(Files.readAllLines(file));
        storedLines.removeIf(text -> !text.contains("\"node\":\"rig\""));
        assertThat(withoutTimes(history.toJsonLines())).isEqualTo(withoutTimes(String.join("\n", storedLines) + "\n"));
    }

    @Test
    void checkersReportTheStoredFindings() {
        PeersRules peers = new HistoryChecker(NODES).check(lines, true);
        PolicyRules policy = new PolicyHistoryChecker(
                        NODES, List.of(0, 1, 2), new PolicyRules.Bounds(2000, 60_000, 90_000))
                .check(
                        lines,
                        List.of(new PolicyRules.MultigetDecision(
                                lines.get(lines.size() - 1).ns(), 0, 1, "5")));
        assertThat(peers.judgedChanges() + " asked\n" + peers.breaches() + "\n" + peers.detectionTimesMs() + "\n"
                        + policy.judged() + " judged\n" + policy.breaches() + "\n")
                .isEqualTo(readForm("history-judged.txt"));
    }
}

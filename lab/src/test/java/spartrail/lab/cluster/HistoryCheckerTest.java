package spartrail.lab.cluster;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import spartrail.lab.cluster.ClusterHistory.Line;

/**
 * Checks that the checker detects breaches that are inserted into a correct history. The history is that of four nodes,
 * one of which was killed and started again.
 */
class HistoryCheckerTest {
    private final List<Line> clean = ClusterHistory.readMerged(Path.of("lab/src/test/resources/history-restart.jsonl"));

    HistoryCheckerTest() throws Exception {}

    private static String brokenRules(List<Line> lines) {
        return new HistoryChecker(4)
                .check(lines, true).breaches().stream()
                        .map(breach -> breach.rule())
                        .distinct()
                        .toList()
                        .toString();
    }

    private int indexOf(String what, String node, String of, String is) {
        for (int i = 0; i < clean.size(); i++) {
            var tree = clean.get(i).tree();
            if (clean.get(i).event().equals(what)
                    && tree.path("node").asText().equals(node)
                    && tree.path("of").asText().equals(of)
                    && tree.path("is").asText().equals(is)) {
                return i;
            }
        }
        throw new AssertionError("the history has no " + what + " line of " + node + " about " + of + " with is=" + is);
    }

    /** The history with a changed copy of the line at one index inserted at another. */
    private List<Line> withInsertedLine(int from, int to, Consumer<ObjectNode> change) {
        List<Line> lines = new ArrayList<>(clean);
        Line line = clean.get(from);
        ObjectNode tree = line.tree().deepCopy();
        change.accept(tree);
        lines.add(to, new Line(clean.get(Math.min(to, clean.size() - 1)).ns(), line.node(), line.event(), tree));
        return lines;
    }

    @Test
    void acceptsCleanHistoryAndDetectsEachInsertedBreach() {
        assertThat(brokenRules(clean)).isEqualTo("[]");
        int gone = indexOf("standing", "n0", "n3", "GONE");
        int suspect = indexOf("standing", "n0", "n3", "SUSPECT");
        int alive = indexOf("standing", "n0", "n1", "ALIVE");
        assertThat(brokenRules(withInsertedLine(suspect, gone + 1, tree -> {}))).contains("1 never back");
        assertThat(brokenRules(withInsertedLine(alive, alive + 1, tree -> tree.put("is", "LEFT"))))
                .contains("2 only its own word");
        assertThat(brokenRules(withInsertedLine(alive, alive + 1, tree -> tree.put("of", "n9"))))
                .contains("3 only known words");
        assertThat(brokenRules(withInsertedLine(gone, gone, tree -> tree.put("doubt", "it stood still")
                        .put("by", "n0")
                        .put("turn", 0))))
                .contains("4 no verdict in doubt");
        assertThat(brokenRules(withInsertedLine(alive, alive + 1, tree -> tree.put("is", "GONE"))))
                .contains("no false end");
        List<Line> withoutOneView = new ArrayList<>(clean);
        withoutOneView.removeIf(line -> line.event().equals("standing")
                && line.node() == 2
                && line.tree().get("of").asText().equals("n1"));
        assertThat(brokenRules(withoutOneView)).isEqualTo("[views agree]");
        List<Line> withoutKillEvent = new ArrayList<>(clean);
        withoutKillEvent.removeIf(line -> line.event().equals("killed"));
        assertThat(brokenRules(withoutKillEvent)).contains("no false end");
    }
}

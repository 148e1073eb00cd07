package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import spartrail.lab.file.Document;

/**
 * The merged history of a run: the lines that all node processes wrote and the events of the harness, ordered by the
 * machine's monotonic clock, which all of them share.
 */
public final class ClusterHistory {
    /**
     * One line of a history.
     *
     * @param node the node that wrote the line, or -1 for the harness
     * @param event for a node {@code began}, {@code standing} or {@code view}, for example; for the harness the action
     *     it took
     */
    public record Line(long ns, int node, String event, JsonNode tree) {}

    /** A history file that a node appends to, and how far it has been read. */
    private static final class FollowedFile {
        final Path file;
        final int node;
        long position;
        String partialLine = "";

        FollowedFile(Path file, int node) {
            this.file = file;
            this.node = node;
        }
    }

    private final List<Line> lines = new ArrayList<>();
    private final List<Line> newHarnessLines = new ArrayList<>();
    private final List<FollowedFile> followedFiles = new ArrayList<>();
    private long unreadableLines;

    /** Reads a merged history from a file; lines of the harness have {@code node} "rig". */
    public static List<Line> readMerged(Path file) throws IOException {
        List<Line> lines = new ArrayList<>();
        for (String text : Files.readAllLines(file)) {
            JsonNode tree = Document.JSON.readTree(text);
            String node = tree.get("node").asText();
            lines.add(new Line(
                    tree.get("ns").asLong(),
                    node.equals("rig") ? -1 : Integer.parseInt(node.substring(1)),
                    tree.get("what").asText(),
                    tree));
        }
        return lines;
    }

    /** Adds a file that a node writes to the history; its lines are read from now on. */
    public void follow(int node, Path file) {
        followedFiles.add(new FollowedFile(file, node));
    }

    /** Adds an action or an observation of the harness. */
    public synchronized void recordHarnessEvent(String event, JsonNode tree) {
        Line line = new Line(System.nanoTime(), -1, event, tree);
        lines.add(line);
        newHarnessLines.add(line);
    }

    /**
     * Reads what the nodes have written since the last call. Returns these lines, followed by the new lines of the
     * harness.
     */
    public synchronized List<Line> readNewLines() throws IOException {
        List<Line> newLines = new ArrayList<>();
        for (FollowedFile followed : followedFiles) {
            if (!Files.exists(followed.file)) {
                continue;
            }
            try (FileChannel channel = FileChannel.open(followed.file, StandardOpenOption.READ)) {
                ByteBuffer bytes =
                        ByteBuffer.allocate((int) Math.min(1 << 20, Math.max(0, channel.size() - followed.position)));
                int count = bytes.capacity() == 0 ? 0 : channel.read(bytes, followed.position);
                if (count <= 0) {
                    continue;
                }
                followed.position += count;
                String text = followed.partialLine + new String(bytes.array(), 0, count, StandardCharsets.UTF_8);
                int end = text.lastIndexOf('\n') + 1;
                followed.partialLine = text.substring(end);
                for (String line : text.substring(0, end).split("\n")) {
                    parseLine(followed.node, line, newLines);
                }
            }
        }
        lines.addAll(newLines);
        newLines.addAll(newHarnessLines);
        newHarnessLines.clear();
        return newLines;
    }

    /**
     * Parses one line. A kill may truncate a line, which the first line of the next incarnation then continues: such a
     * line is counted as unreadable and not repaired.
     */
    private void parseLine(int node, String line, List<Line> newLines) {
        try {
            JsonNode tree = Document.JSON.readTree(line);
            newLines.add(
                    new Line(tree.get("ns").asLong(), node, tree.get("what").asText(), tree));
        } catch (IOException | RuntimeException e) {
            unreadableLines++;
        }
    }

    /** All lines, ordered by time. */
    public synchronized List<Line> inOrder() {
        List<Line> sorted = new ArrayList<>(lines);
        sorted.sort(Comparator.comparingLong(Line::ns));
        return sorted;
    }

    /** The stored form: one JSON object per line; lines of the harness have {@code node} "rig". */
    public String toJsonLines() throws IOException {
        StringBuilder text = new StringBuilder();
        for (Line line : inOrder()) {
            JsonNode tree = line.node() < 0
                    ? Document.JSON
                            .createObjectNode()
                            .put("ns", line.ns())
                            .put("what", line.event())
                            .put("node", "rig")
                            .setAll((com.fasterxml.jackson.databind.node.ObjectNode) line.tree())
                    : line.tree();
            text.append(Document.JSON.writeValueAsString(tree)).append('\n');
        }
        return text.toString();
    }

    public long unreadableLines() {
        return unreadableLines;
    }
}

package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.Function;
import spartrail.lab.file.Document;
import spartrail.lab.net.AdminFrameCodec;
import spartrail.policy.LogOperation;
import spartrail.policy.replication.AdminClient;

/**
 * The rig's operators: they give an order and follow it to its end, each on a thread of its own, and say in the history what they
 * were told: {@code proposed} with its number, {@code ended} with what came of it.
 */
final class OperatorCommands implements AutoCloseable {
    private static final int LOOK_MS = 100;

    private final ClusterHistory history;
    private final List<Integer> ports;
    private final Function<String, String> where;
    private final ExecutorService operators = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "spartrail-operator");
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean ended;
    private volatile long last;

    /** Nodes listen on these ports; {@code where} tells the port of an address that nodes name to each other. */
    OperatorCommands(ClusterHistory history, List<Integer> ports, Function<String, String> where) {
        this.history = history;
        this.ports = ports;
        this.where = where;
    }

    void propose(String step, int via, JsonNode settings) {
        operators.execute(() -> {
            try (AdminClient operator = new AdminClient(new AdminFrameCodec("rig"), true)) {
                String came = order(operator, via, LogOperation.Kind.PROPOSE, 0, settings.toString());
                ObjectNode line = Document.JSON.createObjectNode().put("step", step);
                if (came.startsWith("!")) {
                    history.done(
                            "ended",
                            line.put("number", 0).put("stage", "NOT TAKEN").put("why", came.substring(1)));
                    return;
                }
                history.done("proposed", line.deepCopy().put("number", Long.parseLong(came)));
                last = Long.parseLong(came);
                follow(operator, line, last);
            } catch (IOException e) {
                history.done(
                        "ended",
                        Document.JSON
                                .createObjectNode()
                                .put("step", step)
                                .put("number", 0)
                                .put("stage", "UNKNOWN")
                                .put("why", String.valueOf(e.getMessage())));
            }
        });
    }

    /** Below 0: the proposal that was taken last. */
    void abort(String step, int via, long number) {
        operators.execute(() -> {
            try (AdminClient operator = new AdminClient(new AdminFrameCodec("rig"), true)) {
                history.done(
                        "aborted",
                        Document.JSON
                                .createObjectNode()
                                .put("step", step)
                                .put(
                                        "came",
                                        order(operator, via, LogOperation.Kind.ABORT, number < 0 ? last : number, "")));
            } catch (IOException e) {
                history.done(
                        "aborted",
                        Document.JSON.createObjectNode().put("step", step).put("came", "!" + e.getMessage()));
            }
        });
    }

    /** The node's process is to be gone when it next gets to this point. */
    void arm(String step, int node, String point) {
        operators.execute(() -> {
            ObjectNode line = Document.JSON.createObjectNode().put("step", step).put("point", point);
            try (AdminClient operator = new AdminClient(new AdminFrameCodec("rig"), true)) {
                boolean armed = node >= 0 && operator.armCrashPoint("127.0.0.1:" + ports.get(node), point);
                history.done("armed", line.put("on", "n" + node).put("armed", armed));
            } catch (IOException e) {
                history.done("armed", line.put("armed", false));
            }
        });
    }

    /** By way of one node, or of the next where that one does not answer. */
    private String order(AdminClient operator, int via, LogOperation.Kind kind, long number, String text)
            throws IOException {
        IOException last = null;
        for (int i = 0; i < ports.size() && !ended; i++) {
            try {
                return operator.submit(
                        "127.0.0.1:" + ports.get((via + i) % ports.size()), kind, number, text, "operator", where);
            } catch (IOException e) {
                last = e;
            }
        }
        throw last == null ? new IOException("the rig has ended") : last;
    }

    private void follow(AdminClient operator, ObjectNode line, long number) throws IOException {
        for (int node = 0; !ended; node = (node + 1) % ports.size()) {
            try {
                JsonNode page = Document.JSON.readTree(operator.fetchStatusOnce("127.0.0.1:" + ports.get(node)));
                for (JsonNode entry : page.get("entries")) {
                    if (entry.get("number").asLong() == number) {
                        history.done(
                                "ended",
                                line.put("number", number)
                                        .put("stage", entry.get("stage").asText())
                                        .put("why", entry.get("why").asText()));
                        return;
                    }
                }
                Thread.sleep(LOOK_MS);
            } catch (IOException e) {
                // It is down or cut off; another one knows.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        ended = true;
        operators.shutdownNow();
    }
}

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
 * Sends the plan's operator commands to nodes, each command on a thread of its own, and follows a proposal until it is
 * closed. The replies go to the history: {@code proposed} with the proposal's number, {@code ended} with its final
 * stage.
 */
final class OperatorCommands implements AutoCloseable {
    private static final int POLL_INTERVAL_MS = 100;

    private final ClusterHistory history;
    private final List<Integer> ports;
    private final Function<String, String> addressResolver;
    private final ExecutorService operators = Executors.newCachedThreadPool(task -> {
        Thread thread = new Thread(task, "spartrail-operator");
        thread.setDaemon(true);
        return thread;
    });
    private volatile boolean closed;
    private volatile long lastProposal;

    /**
     * Creates commands for a cluster.
     *
     * @param ports the ports on which the nodes listen
     * @param addressResolver maps an address that nodes advertise to each other to the one on which the node listens
     */
    OperatorCommands(ClusterHistory history, List<Integer> ports, Function<String, String> addressResolver) {
        this.history = history;
        this.ports = ports;
        this.addressResolver = addressResolver;
    }

    void propose(String step, int firstNode, JsonNode settings) {
        operators.execute(() -> {
            try (AdminClient client = new AdminClient(new AdminFrameCodec("rig"), true)) {
                String reply = submit(client, firstNode, LogOperation.Kind.PROPOSE, 0, settings.toString());
                ObjectNode event = Document.JSON.createObjectNode().put("step", step);
                if (reply.startsWith("!")) {
                    history.recordHarnessEvent(
                            "ended",
                            event.put("number", 0).put("stage", "NOT TAKEN").put("why", reply.substring(1)));
                    return;
                }
                history.recordHarnessEvent("proposed", event.deepCopy().put("number", Long.parseLong(reply)));
                lastProposal = Long.parseLong(reply);
                awaitEnd(client, event, lastProposal);
            } catch (IOException e) {
                history.recordHarnessEvent(
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

    /** Aborts a proposal; a number below 0 stands for the proposal that was accepted last. */
    void abort(String step, int firstNode, long number) {
        operators.execute(() -> {
            try (AdminClient client = new AdminClient(new AdminFrameCodec("rig"), true)) {
                history.recordHarnessEvent(
                        "aborted",
                        Document.JSON
                                .createObjectNode()
                                .put("step", step)
                                .put(
                                        "came",
                                        submit(
                                                client,
                                                firstNode,
                                                LogOperation.Kind.ABORT,
                                                number < 0 ? lastProposal : number,
                                                "")));
            } catch (IOException e) {
                history.recordHarnessEvent(
                        "aborted",
                        Document.JSON.createObjectNode().put("step", step).put("came", "!" + e.getMessage()));
            }
        });
    }

    /** Makes the node's process end when it next reaches this crash point. */
    void armCrashPoint(String step, int node, String point) {
        operators.execute(() -> {
            ObjectNode event =
                    Document.JSON.createObjectNode().put("step", step).put("point", point);
            try (AdminClient client = new AdminClient(new AdminFrameCodec("rig"), true)) {
                boolean armed = node >= 0 && client.armCrashPoint("127.0.0.1:" + ports.get(node), point);
                history.recordHarnessEvent("armed", event.put("on", "n" + node).put("armed", armed));
            } catch (IOException e) {
                history.recordHarnessEvent("armed", event.put("armed", false));
            }
        });
    }

    /** Submits an operation to one node, or to the next node if that one does not reply. */
    private String submit(AdminClient client, int firstNode, LogOperation.Kind kind, long number, String text)
            throws IOException {
        IOException lastError = null;
        for (int i = 0; i < ports.size() && !closed; i++) {
            try {
                return client.submit(
                        "127.0.0.1:" + ports.get((firstNode + i) % ports.size()),
                        kind,
                        number,
                        text,
                        "operator",
                        addressResolver);
            } catch (IOException e) {
                lastError = e;
            }
        }
        throw lastError == null ? new IOException("the cluster was closed before the command was sent") : lastError;
    }

    /** Polls the nodes in turn until one of them shows the proposal as closed, then records its stage and reason. */
    private void awaitEnd(AdminClient client, ObjectNode event, long number) throws IOException {
        for (int node = 0; !closed; node = (node + 1) % ports.size()) {
            try {
                JsonNode status = Document.JSON.readTree(client.fetchStatusOnce("127.0.0.1:" + ports.get(node)));
                for (JsonNode entry : status.get("entries")) {
                    if (entry.get("number").asLong() == number) {
                        history.recordHarnessEvent(
                                "ended",
                                event.put("number", number)
                                        .put("stage", entry.get("stage").asText())
                                        .put("why", entry.get("why").asText()));
                        return;
                    }
                }
                Thread.sleep(POLL_INTERVAL_MS);
            } catch (IOException e) {
                // This node is down or cut off: the next node is asked.
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    @Override
    public void close() {
        closed = true;
        operators.shutdownNow();
    }
}

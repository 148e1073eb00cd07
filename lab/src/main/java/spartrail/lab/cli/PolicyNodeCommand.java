package spartrail.lab.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.io.PrintStream;
import java.util.Map;
import java.util.TreeMap;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.net.AdminFrameCodec;
import spartrail.peers.transport.SocketAddresses;
import spartrail.policy.LogOperation;
import spartrail.policy.replication.AdminClient;

/** Base of the policy commands: connects to a running node and finds the other nodes through it. */
abstract class PolicyNodeCommand extends Command {
    private static final int POLL_INTERVAL_MS = 200;
    private static final double MAX_WAIT_MS = 120_000;

    @Option(name = "--at", metaVar = "HOST:PORT", required = true, usage = "gossip address of a running node")
    String at;

    @Option(
            name = "--fleet",
            metaVar = "NAME",
            required = true,
            usage = "name of the fleet, as in the peers file of the node")
    String fleet;

    AdminClient openClient() throws IOException {
        if (!SocketAddresses.isValid(at)) {
            throw new InvalidInputException(
                    "--at: found '" + at + "', the gossip address of a node, such as 127.0.0.1:7400, is expected");
        }
        return new AdminClient(new AdminFrameCodec(fleet), at.startsWith("127."));
    }

    /** The addresses, by name, of the nodes that the queried node knows and does not consider gone or left. */
    Map<String, String> findNodes() throws IOException {
        Map<String, String> nodes = new TreeMap<>();
        for (JsonNode peer : new PeerViewClient(at, fleet).fetchView().get("peers")) {
            String standing = peer.get("standing").asText();
            if (!standing.equals("GONE") && !standing.equals("LEFT")) {
                nodes.put(peer.get("name").asText(), peer.get("address").asText());
            }
        }
        return nodes;
    }

    /**
     * Fetches the status page of a voter, because a voter knows the outcome of proposals: the queried node if it is a
     * voter, else the leader. Returns the page of the queried node if that node knows no leader.
     */
    JsonNode fetchVoterStatus(AdminClient client) throws IOException {
        JsonNode page = Document.JSON.readTree(client.fetchStatus(at));
        if (page.get("decides").asBoolean()) {
            return page;
        }
        String leader = page.get("leader").asText();
        return leader.isEmpty() ? page : Document.JSON.readTree(client.fetchStatus(leader));
    }

    /** Finds the entry of a version: a completed one, the one in effect or the open proposal. */
    static JsonNode findEntry(JsonNode page, long number) {
        for (JsonNode entry : page.get("entries")) {
            if (entry.get("number").asLong() == number) {
                return entry;
            }
        }
        for (String name : new String[] {"holds", "open"}) {
            if (page.has(name) && page.get(name).get("number").asLong() == number) {
                return page.get(name);
            }
        }
        throw new InvalidInputException(
                "version " + number + " is not in the history; spartrail policy history lists the versions");
    }

    /** Submits an operation and prints its outcome; with {@code wait} it first waits until the operation has ended. */
    int submit(
            AdminClient client,
            LogOperation.Kind kind,
            long number,
            String text,
            String operatorName,
            boolean wait,
            boolean json,
            PrintStream out,
            PrintStream err)
            throws IOException, InterruptedException {
        String response = client.submit(at, kind, number, text, operatorName, address -> address);
        if (response.startsWith("!")) {
            err.println("spartrail: rejected: " + response.substring(1));
            return 1;
        }
        long accepted = Long.parseLong(response);
        if (!wait) {
            out.println(
                    json
                            ? "{\"number\":" + accepted + "}"
                            : (kind == LogOperation.Kind.PROPOSE ? "proposed as " : "aborted ") + accepted);
            return 0;
        }
        for (long untilNs = System.nanoTime() + (long) (MAX_WAIT_MS * 1e6);
                System.nanoTime() < untilNs;
                Thread.sleep(POLL_INTERVAL_MS)) {
            for (JsonNode entry : fetchVoterStatus(client).get("entries")) {
                if (entry.get("number").asLong() == accepted) {
                    out.println(
                            json
                                    ? entry.toString()
                                    : accepted + " " + entry.get("stage").asText() + " "
                                            + entry.get("why").asText());
                    return entry.get("stage").asText().equals("HOLDS") ? 0 : 1;
                }
            }
        }
        err.println("spartrail: version " + accepted + " is still in progress after " + MAX_WAIT_MS / 1000
                + " s; spartrail policy show prints its state");
        return 1;
    }
}

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

/** What commands about policy have in common: a running node to ask, and the way to the others. */
abstract class PolicyAt extends Command {
    private static final int LOOK_MS = 200;
    private static final double LONGEST_WAIT_MS = 120_000;

    @Option(
            name = "--at",
            metaVar = "HOST:PORT",
            required = true,
            usage = "where a running node listens for other nodes")
    String at;

    @Option(name = "--fleet", metaVar = "NAME", required = true, usage = "the fleet's name, as in the peers' file")
    String fleet;

    AdminClient operator() throws IOException {
        if (!SocketAddresses.isValid(at)) {
            throw new InvalidInputException(
                    "--at: found '" + at + "', the node's address for talk, such as 127.0.0.1:7400, is expected");
        }
        return new AdminClient(new AdminFrameCodec(fleet), at.startsWith("127."));
    }

    /** Where the nodes are that the one asked knows and holds for there, by name. */
    Map<String, String> nodes() throws IOException {
        Map<String, String> nodes = new TreeMap<>();
        for (JsonNode peer : new PeersCommand(at, fleet).view().get("peers")) {
            String standing = peer.get("standing").asText();
            if (!standing.equals("GONE") && !standing.equals("LEFT")) {
                nodes.put(peer.get("name").asText(), peer.get("address").asText());
            }
        }
        return nodes;
    }

    /** The page of a node that decides, which knows what became of proposals; else that of the node asked. */
    JsonNode decider(AdminClient operator) throws IOException {
        JsonNode page = Document.JSON.readTree(operator.fetchStatus(at));
        if (page.get("decides").asBoolean()) {
            return page;
        }
        String leader = page.get("leader").asText();
        return leader.isEmpty() ? page : Document.JSON.readTree(operator.fetchStatus(leader));
    }

    /** The settings of a version: of one that ended, or that holds or is open. */
    static JsonNode entry(JsonNode page, long number) {
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
        throw new InvalidInputException("no version " + number + " is remembered; spartrail policy history lists them");
    }

    /** Gives an order and says what came of it; waits for its end where that is wanted. */
    int ordered(
            AdminClient operator,
            LogOperation.Kind kind,
            long number,
            String text,
            String who,
            boolean wait,
            boolean json,
            PrintStream out,
            PrintStream err)
            throws IOException, InterruptedException {
        String came = operator.submit(at, kind, number, text, who, address -> address);
        if (came.startsWith("!")) {
            err.println("spartrail: not taken: " + came.substring(1));
            return 1;
        }
        long taken = Long.parseLong(came);
        if (!wait) {
            out.println(
                    json
                            ? "{\"number\":" + taken + "}"
                            : (kind == LogOperation.Kind.PROPOSE ? "proposed as " : "aborted ") + taken);
            return 0;
        }
        for (long untilNs = System.nanoTime() + (long) (LONGEST_WAIT_MS * 1e6);
                System.nanoTime() < untilNs;
                Thread.sleep(LOOK_MS)) {
            for (JsonNode entry : decider(operator).get("entries")) {
                if (entry.get("number").asLong() == taken) {
                    out.println(
                            json
                                    ? entry.toString()
                                    : taken + " " + entry.get("stage").asText() + " "
                                            + entry.get("why").asText());
                    return entry.get("stage").asText().equals("HOLDS") ? 0 : 1;
                }
            }
        }
        err.println("spartrail: " + taken + " has not ended within " + LONGEST_WAIT_MS / 1000
                + " s; spartrail policy show tells where it stands");
        return 1;
    }
}

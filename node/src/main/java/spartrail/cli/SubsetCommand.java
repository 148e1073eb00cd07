package spartrail.cli;

import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.config.DeploymentFile;
import spartrail.endpoint.EndpointListDecoder;
import spartrail.json.JsonTree;
import spartrail.model.Server;
import spartrail.subset.SharingBound;
import spartrail.subset.SubsetSelector;
import spartrail.subset.SubsetSelector.LiveServer;

/** Prints the subset of index servers that a node selects from a list of all servers. */
public final class SubsetCommand implements Command {
    @Argument(required = true, metaVar = "show", usage = "the only action")
    private String action;

    @Option(
            name = "--config",
            required = true,
            metaVar = "FILE",
            usage = "the node's configuration, with a subset in its settings")
    private Path configFile;

    @Option(
            name = "--list",
            required = true,
            metaVar = "FILE",
            usage = "a complete list of servers, as discovery sends it")
    private Path listFile;

    @Option(
            name = "--spares",
            metaVar = "N",
            usage = "the number of further servers to show, in order of preference (default 3)")
    private int maxSpares = 3;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        if (!action.equals("show")) {
            throw new IllegalArgumentException("subset: found '" + action + "', 'show' is expected");
        }
        DeploymentFile deployment = DeploymentFile.read(configFile);
        if (deployment.subset() == null) {
            throw new IllegalArgumentException(
                    configFile + ": 'subset' of settings is missing, so this node uses all servers");
        }
        SubsetSelector selector = deployment.createSubsetSelector();
        selector.apply(readLiveServers(), List.of());
        printSummary(out, deployment, selector);
        for (int group = 0; group < selector.groupCount(); group++) {
            printGroup(out, selector, group);
        }
        return 0;
    }

    private void printGroup(PrintStream out, SubsetSelector selector, int group) {
        List<String> spareServers = selector.spares(group);
        int shown = Math.min(Math.max(0, maxSpares), spareServers.size());
        String next = spareServers.isEmpty() ? "none" : String.join(" ", spareServers.subList(0, shown));
        out.println("shard " + group + ": uses " + String.join(" ", selector.selectedReplicas(group)) + "; then " + next
                + " (" + spareServers.size() + " spares, " + selector.zoneCount(group) + " zones)");
    }

    private List<LiveServer> readLiveServers() {
        try {
            return EndpointListDecoder.decode(Files.readAllBytes(listFile)).endpoints().stream()
                    .filter(endpoint -> endpoint.state() == Server.State.LIVE)
                    .map(endpoint -> new LiveServer(endpoint.id(), endpoint.zone(), endpoint.cell(), endpoint.weight()))
                    .toList();
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(listFile + ": invalid JSON: " + JsonTree.describe(e), e);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + listFile, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(listFile + ": " + e.getMessage(), e);
        }
    }

    private static void printSummary(PrintStream out, DeploymentFile deployment, SubsetSelector selector) {
        int selected = selector.selectedServers().size();
        out.printf(
                Locale.ROOT,
                "node %s uses %d of %d live servers; each is used by %.1f of %d nodes on average, by more than %d with a"
                        + " chance below %.0e%n",
                deployment.name(),
                selected,
                selector.liveServerCount(),
                deployment.frontNodes() * selected / (double) Math.max(1, selector.liveServerCount()),
                deployment.frontNodes(),
                selector.nodesPerServer(deployment.frontNodes()),
                SharingBound.EXCEEDANCE_PROBABILITY);
    }
}

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

/** Shows the subset of index servers that a node uses. */
public final class SubsetCommand implements Command {
    @Argument(required = true, metaVar = "show", usage = "the one thing that it does")
    private String what;

    @Option(
            name = "--config",
            required = true,
            metaVar = "FILE",
            usage = "the node's configuration, with a subset in its settings")
    private Path config;

    @Option(name = "--list", required = true, metaVar = "FILE", usage = "a whole list of servers in discovery's form")
    private Path list;

    @Option(name = "--spares", metaVar = "N", usage = "so many of those that follow are shown (default 3)")
    private int spares = 3;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        if (!what.equals("show")) {
            throw new IllegalArgumentException("subset: found '" + what + "', 'show' is expected");
        }
        DeploymentFile deployment = DeploymentFile.read(config);
        if (deployment.subset() == null) {
            throw new IllegalArgumentException(
                    config + ": 'subset' of settings is missing: this node uses all servers");
        }
        SubsetSelector selector = deployment.subsetSelector();
        selector.apply(live(), List.of());
        summary(out, deployment, selector);
        for (int group = 0; group < selector.groupCount(); group++) {
            List<String> follow = selector.spares(group);
            out.println("shard " + group + ": uses " + String.join(" ", selector.selectedReplicas(group)) + "; then "
                    + (follow.isEmpty()
                            ? "none"
                            : String.join(" ", follow.subList(0, Math.min(Math.max(0, spares), follow.size()))))
                    + " (" + follow.size() + " spares, " + selector.zoneCount(group) + " zones)");
        }
        return 0;
    }

    private List<LiveServer> live() {
        try {
            return EndpointListDecoder.decode(Files.readAllBytes(list)).endpoints().stream()
                    .filter(line -> line.state() == Server.State.LIVE)
                    .map(line -> new LiveServer(line.id(), line.zone(), line.cell(), line.weight()))
                    .toList();
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException(list + ": no JSON: " + JsonTree.describe(e), e);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + list, e);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(list + ": " + e.getMessage(), e);
        }
    }

    private static void summary(PrintStream out, DeploymentFile deployment, SubsetSelector selector) {
        int used = selector.selectedServers().size();
        out.printf(
                Locale.ROOT,
                "node %s uses %d of %d live servers; each is used by %.1f of %d nodes on average, by more than %d with a"
                        + " chance below %.0e%n",
                deployment.name(),
                used,
                selector.liveServerCount(),
                deployment.nodes() * used / (double) Math.max(1, selector.liveServerCount()),
                deployment.nodes(),
                selector.nodesPerServer(deployment.nodes()),
                SharingBound.EXCEEDANCE_PROBABILITY);
    }
}

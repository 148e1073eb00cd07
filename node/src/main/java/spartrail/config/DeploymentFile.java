package spartrail.config;

import static spartrail.config.Provisioning.above0;
import static spartrail.config.Provisioning.flag;
import static spartrail.config.Provisioning.map;
import static spartrail.config.Provisioning.needed;
import static spartrail.config.Provisioning.number;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import spartrail.coordination.Coordinator;
import spartrail.endpoint.EndpointAddress;
import spartrail.endpoint.EndpointList;
import spartrail.endpoint.EndpointListDecoder;
import spartrail.json.JsonTree;
import spartrail.model.OpType;
import spartrail.subset.SubsetFilter;
import spartrail.subset.SubsetSelector;
import spartrail.subset.SubsetSettings;

/** The JSON file that tells a front node all it is told at its start; read once, asked by each part for its own. */
public final class DeploymentFile {
    private final Map<?, ?> tree;
    private final Map<?, ?> info;
    private final InetSocketAddress listen;
    private final InetSocketAddress discovery;
    private final EndpointList known;

    private DeploymentFile(Map<?, ?> tree) {
        this.tree = tree;
        this.info = (Map<?, ?>) tree.get("settings");
        this.listen = EndpointAddress.parse(text("listen"));
        this.discovery = EndpointAddress.parse(text("discovery"));
        this.known = tree.get("known") instanceof Map<?, ?> list
                ? EndpointListDecoder.decode(list)
                : new EndpointList(0, true, List.of());
    }

    /** Reads and checks the file; what is wrong is said in one line. */
    public static DeploymentFile read(Path path) throws IOException {
        String text;
        try {
            text = Files.readString(path);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot read " + path);
        }
        try {
            return parse(text);
        } catch (IllegalArgumentException e) {
            throw new IllegalArgumentException(path + ": " + e.getMessage(), e);
        }
    }

    public static DeploymentFile parse(String text) throws IOException {
        try (JsonParser parser = new JsonFactory().createParser(text)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof Map<?, ?> tree)) {
                throw new IllegalArgumentException("a JSON object is expected");
            }
            if (!(tree.get("settings") instanceof Map<?, ?>)) {
                throw new IllegalArgumentException("'settings' is missing or no object");
            }
            try {
                DeploymentFile file = new DeploymentFile(tree);
                file.check();
                return file;
            } catch (ClassCastException e) {
                throw new IllegalArgumentException("a setting is of the wrong kind", e);
            }
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("no JSON: " + JsonTree.describe(e) + " in line "
                    + e.getLocation().getLineNr());
        }
    }

    private void check() {
        coordinator(opTypes());
        if (reach() > cells()) {
            throw new IllegalArgumentException("'width of family-info': found " + reach()
                    + ", no more than the 'sets', " + cells() + ", is expected");
        }
        openCap();
        sockets();
        callsPerConnection();
        connectTimeoutMs();
        keepAliveMs();
        graceMs();
        subset();
    }

    public String name() {
        return String.valueOf(tree.get("name"));
    }

    /** What operators call this version of the settings; empty where they do not say. */
    public String version() {
        return tree.get("version") == null ? "" : String.valueOf(tree.get("version"));
    }

    public InetSocketAddress listen() {
        return listen;
    }

    public InetSocketAddress discovery() {
        return discovery;
    }

    /** The list of servers as this node last had it; it may be old. */
    public EndpointList known() {
        return known;
    }

    /** The chance of this start, from the seed in hex. */
    private long seed() {
        String seed = String.valueOf(tree.get("seed"));
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            return seed.hashCode();
        }
    }

    public List<OpType> opTypes() {
        return Provisioning.opTypes(info);
    }

    public Coordinator coordinator(List<OpType> opTypes) {
        return Provisioning.coordinator(seed(), info, opTypes);
    }

    /**
     * What of this file a node that serves by another one cannot take before its next start: what the shape of its
     * queues, its door and its connections rests on; empty if it can take all.
     */
    public String waitingForAStart(DeploymentFile running) {
        Map<String, Object> found = shape();
        Map<String, Object> served = running.shape();
        return found.keySet().stream()
                .filter(name -> !found.get(name).equals(served.get(name)))
                .map(name -> name + ": found " + found.get(name) + ", served " + served.get(name))
                .collect(Collectors.joining("; "));
    }

    private Map<String, Object> shape() {
        Map<String, Object> shape = new LinkedHashMap<>();
        shape.put("classes", opTypes().stream().map(op -> op.name).toList());
        shape.put("slabs", shards());
        shape.put("sets", cells());
        shape.put("width", reach());
        shape.put("batch", (int) number(map(info, "family-info"), "batch", 1));
        // Danger: the module's margins go by the turns of the loop, which stay as they are.
        shape.put("tick in ms", turnMs());
        shape.put("discovery asked for", listAsked());
        shape.put("subset", String.valueOf(subset()));
        return shape;
    }

    /** The settings as they were read. */
    Map<?, ?> settings() {
        return info;
    }

    /** The same with other settings, checked. */
    DeploymentFile with(Map<String, Object> settings) {
        Map<Object, Object> changed = new LinkedHashMap<>(tree);
        changed.put("settings", settings);
        DeploymentFile file = new DeploymentFile(changed);
        file.check();
        return file;
    }

    /** Tells a coordinator in use, and the list of its op types, what this file states; what they have learned stays. */
    public void renew(Coordinator coordinator, List<OpType> opTypes) {
        Provisioning.renew(opTypes, opTypes());
        Provisioning.state(coordinator, info);
    }

    /** How many front nodes there are. */
    public int nodes() {
        return (int) above0(info, "peers-total", "");
    }

    /** Most file descriptors that the process may hold. */
    public int sockets() {
        return (int) above0(map(tree, "limits"), "sockets", " of limits");
    }

    /** Most multigets and parts in hand. */
    public int openCap() {
        return (int) above0(map(info, "bounds"), "open-cap", " of bounds");
    }

    public int mostSends() {
        return (int) above0(map(info, "bounds"), "try-limit", " of bounds");
    }

    public int callsPerConnection() {
        return (int) above0(map(info, "bounds"), "streams-per-conn", " of bounds");
    }

    public double connectTimeoutMs() {
        return 1000 * needed(map(info, "bounds"), "connect-timeout", " of bounds");
    }

    /** After this long without use a server closes a connection. */
    public double keepAliveMs() {
        return 1000 * needed(map(info, "bounds"), "keepalive", " of bounds");
    }

    /** So long after it was told nothing more may be sent to a server that drains. */
    public double graceMs() {
        return 1000 * needed(map(info, "rules"), "stop-sending-within", " of rules");
    }

    public boolean cancelling() {
        return flag(map(info, "bounds"), "cancelling");
    }

    /** The time that the longest client waits. */
    public double longestMs() {
        return opTypes().stream().mapToDouble(op -> op.timeoutMs).max().orElse(0);
    }

    public int shards() {
        return (int) number(map(info, "family-info"), "slabs", 0);
    }

    public int cells() {
        return (int) number(map(info, "family-info"), "sets", 1);
    }

    /** How large a subset of the index servers this node uses; null where it uses all of them. */
    public SubsetSettings subset() {
        if (info.get("subset") == null) {
            return null;
        }
        Map<?, ?> stated = map(info, "subset");
        return new SubsetSettings(wholeNumber(stated, "replicasPerShard"), wholeNumber(stated, "leastZones"));
    }

    private static int wholeNumber(Map<?, ?> subset, String name) {
        double number = needed(subset, name, " of subset");
        if (number != (int) number) {
            throw new IllegalArgumentException(
                    "'" + name + " of subset': found " + subset.get(name) + ", a whole number is expected");
        }
        return (int) number;
    }

    /** Chooses this node's servers from all live ones; only where a subset is stated. */
    public SubsetSelector subsetSelector() {
        return new SubsetSelector(name(), subset(), shards(), cells(), reach());
    }

    /** What tells this node its own servers from a list of all; null where it uses all of them. */
    public SubsetFilter subsetFilter() {
        return subset() == null ? null : new SubsetFilter(subsetSelector(), longestMs());
    }

    /** Consecutive cells that hold a shard. */
    public int reach() {
        return (int) number(map(info, "family-info"), "width", 1);
    }

    /** The shortest time between two turns. */
    public double turnMs() {
        return 1000 * number(info, "tick", 0);
    }

    /** Whether the module says when the list's changes are asked for. */
    public boolean listAsked() {
        return "ask".equals(info.get("discovery"));
    }

    private String text(String name) {
        if (!(tree.get(name) instanceof String value)) {
            throw new IllegalArgumentException("'" + name + "' is missing or no text");
        }
        return value;
    }
}

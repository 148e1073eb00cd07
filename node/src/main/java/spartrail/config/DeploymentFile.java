package spartrail.config;

import static spartrail.config.CoordinatorSettings.flag;
import static spartrail.config.CoordinatorSettings.number;
import static spartrail.config.CoordinatorSettings.requiredCount;
import static spartrail.config.CoordinatorSettings.requiredNumber;
import static spartrail.config.CoordinatorSettings.section;

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

/** The JSON deploy file of a front node, read and checked at start and on SIGHUP. */
public final class DeploymentFile {
    private final Map<?, ?> tree;
    private final Map<?, ?> settings;
    private final InetSocketAddress listen;
    private final InetSocketAddress discovery;
    private final EndpointList knownEndpoints;

    private DeploymentFile(Map<?, ?> tree) {
        this.tree = tree;
        this.settings = (Map<?, ?>) tree.get("settings");
        this.listen = EndpointAddress.parse(text("listen"));
        this.discovery = EndpointAddress.parse(text("discovery"));
        this.knownEndpoints = tree.get("known") instanceof Map<?, ?> list
                ? EndpointListDecoder.decode(list)
                : new EndpointList(0, true, List.of());
    }

    /** Reads and checks the file; an IllegalArgumentException says in one line what is wrong. */
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

    /** Parses and checks the text of a file. */
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
        if (replicationFactor() > cells()) {
            throw new IllegalArgumentException("'width of family-info': found " + replicationFactor()
                    + ", no more than the 'sets', " + cells() + ", is expected");
        }
        maxInFlight();
        maxFileDescriptors();
        partsPerConnection();
        connectTimeoutMs();
        keepAliveMs();
        drainGraceMs();
        subset();
    }

    /** The name of this node. */
    public String name() {
        return String.valueOf(tree.get("name"));
    }

    /** The operators' name of this version of the settings; empty without one. */
    public String version() {
        return tree.get("version") == null ? "" : String.valueOf(tree.get("version"));
    }

    /** The address on which clients connect. */
    public InetSocketAddress listen() {
        return listen;
    }

    /** The address of the discovery service. */
    public InetSocketAddress discovery() {
        return discovery;
    }

    /** The list of servers as this node last had it; it may be old. */
    public EndpointList knownEndpoints() {
        return knownEndpoints;
    }

    /** The seed of this start's random draws, in hex. */
    private long seed() {
        String seed = String.valueOf(tree.get("seed"));
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            return seed.hashCode();
        }
    }

    /** The op types, with no latency statistics yet. */
    public List<OpType> opTypes() {
        return CoordinatorSettings.parseOpTypes(settings);
    }

    /** A configured coordinator of these op types. */
    public Coordinator coordinator(List<OpType> opTypes) {
        return CoordinatorSettings.createCoordinator(seed(), settings, opTypes);
    }

    /**
     * The differences from the running file that a node takes at its next start only, as its queues, listener and connections
     * depend on them; empty if there are none.
     */
    public String changesThatNeedRestart(DeploymentFile running) {
        Map<String, Object> changed = restartOnlySettings();
        Map<String, Object> current = running.restartOnlySettings();
        return changed.keySet().stream()
                .filter(name -> !changed.get(name).equals(current.get(name)))
                .map(name -> name + ": found " + changed.get(name) + ", in use " + current.get(name))
                .collect(Collectors.joining("; "));
    }

    private Map<String, Object> restartOnlySettings() {
        Map<String, Object> shape = new LinkedHashMap<>();
        shape.put("classes", opTypes().stream().map(op -> op.name).toList());
        shape.put("slabs", shards());
        shape.put("sets", cells());
        shape.put("width", replicationFactor());
        shape.put("batch", (int) number(section(settings, "family-info"), "batch", 1));
        // The coordinator's margins go by the interval of the event loop, which stays as it is.
        shape.put("tick in ms", loopIntervalMs());
        shape.put("discovery asked for", isDiscoveryPolled());
        shape.put("subset", String.valueOf(subset()));
        return shape;
    }

    /** The settings as they were read. */
    Map<?, ?> settings() {
        return settings;
    }

    /** The same with other settings, checked. */
    DeploymentFile withSettings(Map<String, Object> settings) {
        Map<Object, Object> changed = new LinkedHashMap<>(tree);
        changed.put("settings", settings);
        DeploymentFile file = new DeploymentFile(changed);
        file.check();
        return file;
    }

    /** Configures a coordinator in use and replaces its op types by those of this file; what was learned stays. */
    public void applyTo(Coordinator coordinator, List<OpType> opTypes) {
        CoordinatorSettings.replaceOpTypes(opTypes, opTypes());
        CoordinatorSettings.configure(coordinator, settings);
    }

    /** How many front nodes there are. */
    public int frontNodes() {
        return (int) requiredCount(settings, "peers-total", "");
    }

    /** Most file descriptors that the process may hold. */
    public int maxFileDescriptors() {
        return (int) requiredCount(section(tree, "limits"), "sockets", " of limits");
    }

    /** The most multigets and parts in hand. */
    public int maxInFlight() {
        return (int) requiredCount(section(settings, "bounds"), "open-cap", " of bounds");
    }

    /** The most attempts of a part. */
    public int maxAttemptsPerPart() {
        return (int) requiredCount(section(settings, "bounds"), "try-limit", " of bounds");
    }

    /** The most parts in flight on one connection to a server. */
    public int partsPerConnection() {
        return (int) requiredCount(section(settings, "bounds"), "streams-per-conn", " of bounds");
    }

    /** The time after which a connection that is not up is given up. */
    public double connectTimeoutMs() {
        return 1000 * requiredNumber(section(settings, "bounds"), "connect-timeout", " of bounds");
    }

    /** After this long without use a server closes a connection. */
    public double keepAliveMs() {
        return 1000 * requiredNumber(section(settings, "bounds"), "keepalive", " of bounds");
    }

    /** The time after which nothing more may be sent to a server that drains. */
    public double drainGraceMs() {
        return 1000 * requiredNumber(section(settings, "rules"), "stop-sending-within", " of rules");
    }

    /** Whether an attempt may be cancelled. */
    public boolean isCancellationAllowed() {
        return flag(section(settings, "bounds"), "cancelling");
    }

    /** The longest time that a client of any op type waits. */
    public double longestClientTimeoutMs() {
        return opTypes().stream().mapToDouble(op -> op.timeoutMs).max().orElse(0);
    }

    /** The number of shards. */
    public int shards() {
        return (int) number(section(settings, "family-info"), "slabs", 0);
    }

    /** The number of cells. */
    public int cells() {
        return (int) number(section(settings, "family-info"), "sets", 1);
    }

    /** How large a subset of the index servers this node uses; null where it uses all of them. */
    public SubsetSettings subset() {
        if (settings.get("subset") == null) {
            return null;
        }
        Map<?, ?> stated = section(settings, "subset");
        return new SubsetSettings(wholeNumber(stated, "replicasPerShard"), wholeNumber(stated, "leastZones"));
    }

    private static int wholeNumber(Map<?, ?> subset, String name) {
        double number = requiredNumber(subset, name, " of subset");
        if (number != (int) number) {
            throw new IllegalArgumentException(
                    "'" + name + " of subset': found " + subset.get(name) + ", a whole number is expected");
        }
        return (int) number;
    }

    /** Chooses this node's servers from all live ones; only where a subset is stated. */
    public SubsetSelector subsetSelector() {
        return new SubsetSelector(name(), subset(), shards(), cells(), replicationFactor());
    }

    /** Picks this node's own servers from a list of all; null where it uses all of them. */
    public SubsetFilter subsetFilter() {
        return subset() == null ? null : new SubsetFilter(subsetSelector(), longestClientTimeoutMs());
    }

    /** Consecutive cells that hold a shard. */
    public int replicationFactor() {
        return (int) number(section(settings, "family-info"), "width", 1);
    }

    /** The shortest time between two event loop iterations. */
    public double loopIntervalMs() {
        return 1000 * number(settings, "tick", 0);
    }

    /** Whether the coordinator says when the endpoint list's changes are asked for. */
    public boolean isDiscoveryPolled() {
        return "ask".equals(settings.get("discovery"));
    }

    private String text(String name) {
        if (!(tree.get(name) instanceof String value)) {
            throw new IllegalArgumentException("'" + name + "' is missing or no text");
        }
        return value;
    }
}

package spartrail.config;

import static spartrail.config.CoordinatorSettings.readFlag;
import static spartrail.config.CoordinatorSettings.readNumber;
import static spartrail.config.CoordinatorSettings.readSection;
import static spartrail.config.CoordinatorSettings.requireCount;
import static spartrail.config.CoordinatorSettings.requireNumber;

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
        this.listen = EndpointAddress.parse(requireText("listen"));
        this.discovery = EndpointAddress.parse(requireText("discovery"));
        this.knownEndpoints = tree.get("known") instanceof Map<?, ?> list
                ? EndpointListDecoder.decode(list)
                : new EndpointList(0, true, List.of());
    }

    /** Reads and checks the file; an IllegalArgumentException names the fault in one line. */
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
                throw new IllegalArgumentException("'settings' is missing or not an object");
            }
            try {
                DeploymentFile file = new DeploymentFile(tree);
                file.check();
                return file;
            } catch (ClassCastException e) {
                throw new IllegalArgumentException("a setting has the wrong type", e);
            }
        } catch (JsonProcessingException e) {
            throw new IllegalArgumentException("invalid JSON: " + JsonTree.describe(e) + " in line "
                    + e.getLocation().getLineNr());
        }
    }

    private void check() {
        createCoordinator(opTypes());
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

    /** The operators' name for this version of the settings; empty if they gave none. */
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

    /** The list of servers that this node knew last; it may be outdated. */
    public EndpointList knownEndpoints() {
        return knownEndpoints;
    }

    /** The seed of the random numbers: parsed as hexadecimal, or a hash of a text that is not. */
    private long parseSeed() {
        String seed = String.valueOf(tree.get("seed"));
        try {
            return Long.parseUnsignedLong(seed, 16);
        } catch (NumberFormatException e) {
            return seed.hashCode();
        }
    }

    /** Creates the op types, without latency statistics. */
    public List<OpType> opTypes() {
        return CoordinatorSettings.parseOpTypes(settings);
    }

    /** Creates a configured coordinator of these op types. */
    public Coordinator createCoordinator(List<OpType> opTypes) {
        return CoordinatorSettings.createCoordinator(parseSeed(), settings, opTypes);
    }

    /**
     * The differences from the running file that a node can only apply at a start, as its queues, listener and
     * connections depend on them; empty if there are none.
     */
    public String findChangesThatNeedRestart(DeploymentFile running) {
        Map<String, Object> changed = collectRestartOnlySettings();
        Map<String, Object> current = running.collectRestartOnlySettings();
        return changed.keySet().stream()
                .filter(name -> !changed.get(name).equals(current.get(name)))
                .map(name -> name + ": found " + changed.get(name) + ", in use " + current.get(name))
                .collect(Collectors.joining("; "));
    }

    private Map<String, Object> collectRestartOnlySettings() {
        Map<String, Object> values = new LinkedHashMap<>();
        values.put("classes", opTypes().stream().map(op -> op.name).toList());
        values.put("slabs", shards());
        values.put("sets", cells());
        values.put("width", replicationFactor());
        values.put("batch", (int) readNumber(readSection(settings, "family-info"), "batch", 1));
        // The coordinator's time margins depend on the interval of the event loop, which cannot change while it runs.
        values.put("tick in ms", loopIntervalMs());
        values.put("discovery polled", isDiscoveryPolled());
        values.put("subset", String.valueOf(subset()));
        return values;
    }

    /** The settings as read, in the file's units. */
    Map<?, ?> settings() {
        return settings;
    }

    /** A checked copy of this file with other settings. */
    DeploymentFile withSettings(Map<String, Object> settings) {
        Map<Object, Object> changed = new LinkedHashMap<>(tree);
        changed.put("settings", settings);
        DeploymentFile file = new DeploymentFile(changed);
        file.check();
        return file;
    }

    /** Configures a coordinator in use and replaces its op types by those of this file; statistics are kept. */
    public void applyTo(Coordinator coordinator, List<OpType> opTypes) {
        CoordinatorSettings.replaceOpTypes(opTypes, opTypes());
        CoordinatorSettings.configure(coordinator, settings);
    }

    /** The number of front nodes. */
    public int frontNodes() {
        return (int) requireCount(settings, "peers-total", "");
    }

    /** The most file descriptors that the process may hold. */
    public int maxFileDescriptors() {
        return (int) requireCount(readSection(tree, "limits"), "sockets", " of limits");
    }

    /** The limit on multigets plus parts in flight. */
    public int maxInFlight() {
        return (int) requireCount(readSection(settings, "bounds"), "open-cap", " of bounds");
    }

    /** The most attempts of a part. */
    public int maxAttemptsPerPart() {
        return (int) requireCount(readSection(settings, "bounds"), "try-limit", " of bounds");
    }

    /** The most parts in flight on one connection to a server. */
    public int partsPerConnection() {
        return (int) requireCount(readSection(settings, "bounds"), "streams-per-conn", " of bounds");
    }

    /** The time limit for establishing a connection to a server. */
    public double connectTimeoutMs() {
        return 1000 * requireNumber(readSection(settings, "bounds"), "connect-timeout", " of bounds");
    }

    /** The idle time after which a server closes a connection. */
    public double keepAliveMs() {
        return 1000 * requireNumber(readSection(settings, "bounds"), "keepalive", " of bounds");
    }

    /** The time after which nothing more may be sent to a draining server. */
    public double drainGraceMs() {
        return 1000 * requireNumber(readSection(settings, "rules"), "stop-sending-within", " of rules");
    }

    /** Whether servers may be asked to cancel an attempt. */
    public boolean isCancellationAllowed() {
        return readFlag(readSection(settings, "bounds"), "cancelling");
    }

    /** The longest time that a client of any op type waits. */
    public double longestClientTimeoutMs() {
        return opTypes().stream().mapToDouble(op -> op.timeoutMs).max().orElse(0);
    }

    /** The number of shards. */
    public int shards() {
        return (int) readNumber(readSection(settings, "family-info"), "slabs", 0);
    }

    /** The number of cells. */
    public int cells() {
        return (int) readNumber(readSection(settings, "family-info"), "sets", 1);
    }

    /** The size of the subset of index servers that this node uses; null if it uses all of them. */
    public SubsetSettings subset() {
        if (settings.get("subset") == null) {
            return null;
        }
        Map<?, ?> subset = readSection(settings, "subset");
        return new SubsetSettings(
                requireWholeNumber(subset, "replicasPerShard"), requireWholeNumber(subset, "leastZones"));
    }

    private static int requireWholeNumber(Map<?, ?> subset, String name) {
        double number = requireNumber(subset, name, " of subset");
        if (number != (int) number) {
            throw new IllegalArgumentException(
                    "'" + name + " of subset': found " + subset.get(name) + ", a whole number is expected");
        }
        return (int) number;
    }

    /** Creates the selector of this node's servers among all live ones; requires a subset in the settings. */
    public SubsetSelector createSubsetSelector() {
        return new SubsetSelector(name(), subset(), shards(), cells(), replicationFactor());
    }

    /** Creates the filter that reduces a list of all servers to this node's subset; null if it uses all of them. */
    public SubsetFilter createSubsetFilter() {
        return subset() == null ? null : new SubsetFilter(createSubsetSelector(), longestClientTimeoutMs());
    }

    /** The number of consecutive cells that hold a shard. */
    public int replicationFactor() {
        return (int) readNumber(readSection(settings, "family-info"), "width", 1);
    }

    /** The shortest time between the starts of two event loop iterations. */
    public double loopIntervalMs() {
        return 1000 * readNumber(settings, "tick", 0);
    }

    /** Whether the node asks for endpoint changes only when the coordinator requests it. */
    public boolean isDiscoveryPolled() {
        return "ask".equals(settings.get("discovery"));
    }

    private String requireText(String name) {
        if (!(tree.get(name) instanceof String value)) {
            throw new IllegalArgumentException("'" + name + "' is missing or not a string");
        }
        return value;
    }
}

package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.fleet.FleetPlan;
import spartrail.lab.plan.LoadPlan;

/**
 * A matrix of runs: versions of the front node, numbers of front nodes, multiples of the load, seeds.
 *
 * @param versions jars of the front node by the name of the version
 * @param times multiples of the load
 * @param tree the plan as JSON, with the fleet and load plans in it
 */
public record ExperimentPlan(
        String name,
        FleetPlan fleet,
        LoadPlan load,
        NodeSettings node,
        Map<String, Path> versions,
        List<Integer> nodes,
        List<Double> times,
        List<Long> seeds,
        JsonNode tree) {
    /** One cell of the matrix. */
    public record Cell(String version, int nodes, double times, long seed) {
        /** The name of the group of cells that differ only by their seed. */
        public String group() {
            return version + ", " + nodes + " nodes, load x " + times;
        }
    }

    /** Reads and validates a plan; paths in it are relative to its folder. */
    public static ExperimentPlan read(Path file) {
        Document document = Document.read(file, "experiment");
        JsonNode tree = document.tree;
        Document fleet = readPart(document, file, "fleet", "fleet");
        Document load = readPart(document, file, "load", "load");
        Map<String, Path> versions = new LinkedHashMap<>();
        JsonNode matrix = tree.path("matrix");
        matrix.path("versions").fields().forEachRemaining(version -> {
            String jar = version.getValue().asText();
            Path path = jar.equals("this")
                    ? NodeProcess.ownJar()
                    : file.toAbsolutePath().resolveSibling(jar).normalize();
            if (!Files.isReadable(path)) {
                throw document.invalid(
                        "/matrix/versions/" + version.getKey(),
                        "found '" + jar + "', a readable jar or" + " \"this\" is expected");
            }
            versions.put(version.getKey(), path);
        });
        if (versions.isEmpty()) {
            versions.put("this", NodeProcess.ownJar());
        }
        List<Integer> nodes = new ArrayList<>();
        matrix.path("nodes").forEach(count -> nodes.add(count.asInt()));
        List<Double> times = new ArrayList<>();
        matrix.path("times").forEach(multiple -> times.add(multiple.asDouble()));
        List<Long> seeds = new ArrayList<>();
        matrix.path("seeds").forEach(seed -> seeds.add(seed.asLong()));
        ObjectNode completeTree = tree.deepCopy();
        completeTree.set("fleet", fleet.tree);
        completeTree.set("load", load.tree);
        return new ExperimentPlan(
                tree.get("name").asText(),
                FleetPlan.of(fleet),
                LoadPlan.of(load),
                new NodeSettings(tree.get("node")),
                versions,
                nodes.isEmpty() ? List.of(1) : nodes,
                times.isEmpty() ? List.of(1.0) : times,
                seeds.isEmpty() ? List.of(1L) : seeds,
                completeTree);
    }

    /** Validates a part of the plan, which is either an object in the plan or the path of another file. */
    private static Document readPart(Document document, Path file, String name, String schema) {
        JsonNode node = document.tree.get(name);
        if (node.isTextual()) {
            return Document.read(
                    file.toAbsolutePath().resolveSibling(node.asText()).normalize(), schema);
        }
        try {
            return Document.of(document.name + ": /" + name, node, schema);
        } catch (InvalidInputException e) {
            throw new InvalidInputException(e.getMessage().replace(": /" + name + ": /", ": /" + name + "/"));
        }
    }

    /**
     * All cells in the order in which they are run. The versions of one seed run one after the other, so that slow
     * changes of the machine's speed affect them alike.
     */
    public List<Cell> cells() {
        List<Cell> cells = new ArrayList<>();
        for (long seed : seeds) {
            for (double times : this.times) {
                for (int count : nodes) {
                    for (String version : versions.keySet()) {
                        cells.add(new Cell(version, count, times, seed));
                    }
                }
            }
        }
        return cells;
    }
}

package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import spartrail.lab.file.Document;

/**
 * Changes policy by rewriting a node's configuration file before a SIGHUP, without an agreed log. The policy drills are
 * compared with this simpler method.
 */
final class ConfigPush {
    private ConfigPush() {}

    /** Sets the latency objectives and deadlines of op types in a node's configuration. */
    static void applySettings(ObjectNode config, JsonNode settings) {
        for (JsonNode opType : config.get("settings").get("classes")) {
            JsonNode budgets = settings.path("opTypes").path(opType.get("name").asText());
            budgets.fields().forEachRemaining(field -> ((ObjectNode) opType)
                    .put(
                            field.getKey().equals("budgetMs") ? "aim" : "deadline",
                            field.getValue().asDouble() / 1000));
        }
    }

    /**
     * Rewrites a configuration file with the new times of op types and the version that the node's records then name.
     */
    static void writeConfig(Path config, JsonNode settings, long version) throws IOException {
        ObjectNode tree = (ObjectNode) Document.JSON.readTree(Files.readString(config));
        tree.put("version", Long.toString(version));
        applySettings(tree, settings);
        Path newFile = config.resolveSibling(config.getFileName() + ".new");
        Files.writeString(newFile, tree.toPrettyString());
        Files.move(newFile, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

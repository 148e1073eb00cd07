package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import spartrail.lab.file.Document;

/** The easy way to change policy: another file, and SIGHUP. What the drills of policy are measured against. */
final class ConfigPush {
    private ConfigPush() {}

    /** Times of op types, in a node's configuration. */
    static void applySettings(ObjectNode config, JsonNode settings) {
        for (JsonNode opType : config.get("settings").get("classes")) {
            JsonNode budgets = settings.path("opTypes").path(opType.get("name").asText());
            budgets.fields().forEachRemaining(field -> ((ObjectNode) opType)
                    .put(
                            field.getKey().equals("budgetMs") ? "aim" : "deadline",
                            field.getValue().asDouble() / 1000));
        }
    }

    /** Budgets of op types are all that it changes; the version is what the record names. */
    static void writeConfig(Path config, JsonNode settings, long version) throws IOException {
        ObjectNode tree = (ObjectNode) Document.JSON.readTree(Files.readString(config));
        tree.put("version", Long.toString(version));
        applySettings(tree, settings);
        Path newFile = config.resolveSibling(config.getFileName() + ".new");
        Files.writeString(newFile, tree.toPrettyString());
        Files.move(newFile, config, StandardCopyOption.ATOMIC_MOVE, StandardCopyOption.REPLACE_EXISTING);
    }
}

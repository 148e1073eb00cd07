package spartrail.lab.file;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.networknt.schema.JsonSchema;
import com.networknt.schema.JsonSchemaFactory;
import com.networknt.schema.PathType;
import com.networknt.schema.SchemaValidatorsConfig;
import com.networknt.schema.SpecVersion;
import com.networknt.schema.ValidationMessage;
import java.io.IOException;
import java.io.InputStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;

/**
 * A JSON document that has been validated by a schema of this project (JSON Schema 2020-12). Errors name the place of a
 * value by its JSON pointer (RFC 6901).
 */
public final class Document {
    /** Reads strict JSON, and accepts comments in it. */
    public static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.ALLOW_COMMENTS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** The name of the document in messages, usually its path. */
    public final String name;

    public final JsonNode tree;

    private Document(String name, JsonNode tree) {
        this.name = name;
        this.tree = tree;
    }

    /** Reads a file and validates it by {@code schema/NAME.json}. */
    public static Document read(Path file, String schema) {
        byte[] bytes;
        try {
            bytes = Files.readAllBytes(file);
        } catch (IOException e) {
            throw new InvalidInputException(file + ": cannot be read");
        }
        return parse(file.toString(), bytes, schema);
    }

    /** Parses bytes and validates them by {@code schema/NAME.json}. */
    public static Document parse(String name, byte[] bytes, String schema) {
        JsonNode tree;
        try {
            tree = JSON.readTree(bytes);
        } catch (JsonProcessingException e) {
            throw new InvalidInputException(name + ":" + e.getLocation().getLineNr() + ": no JSON: "
                    + e.getOriginalMessage()
                            .lines()
                            .findFirst()
                            .orElse("")
                            .replaceAll(" \\(for .*", "")
                            .trim());
        } catch (IOException e) {
            throw new InvalidInputException(name + ": no JSON");
        }
        return of(name, tree, schema);
    }

    /**
     * Validates a tree by {@code schema/NAME.json}; the exception names the place and the value of the first violation.
     */
    public static Document of(String name, JsonNode tree, String schema) {
        if (tree == null || tree.isMissingNode()) {
            throw new InvalidInputException(name + ": is empty, a JSON object is expected");
        }
        List<ValidationMessage> violations = loadSchema(schema).validate(tree).stream()
                .sorted(Comparator.comparing((ValidationMessage violation) ->
                                violation.getInstanceLocation().toString())
                        .thenComparing(ValidationMessage::getMessage))
                .toList();
        if (!violations.isEmpty()) {
            ValidationMessage first = violations.get(0);
            String place = first.getInstanceLocation().toString();
            JsonNode found = first.getInstanceNode();
            String foundText = found == null || found.isContainerNode() ? "" : ", found " + found;
            String more = violations.size() == 1 ? "" : " (and " + (violations.size() - 1) + " more)";
            throw new InvalidInputException(
                    name + ": " + (place.isEmpty() ? "/" : place) + ": " + messageOf(first, place) + foundText + more);
        }
        return new Document(name, tree);
    }

    private static String messageOf(ValidationMessage violation, String place) {
        String text = violation.getMessage();
        return text.startsWith(place + ": ") ? text.substring(place.length() + 2) : text;
    }

    /** Creates an exception for the value at this pointer, for errors that the schema cannot express. */
    public InvalidInputException invalid(String pointer, String message) {
        return new InvalidInputException(name + ": " + pointer + ": " + message);
    }

    private static JsonSchema loadSchema(String name) {
        try (InputStream in = Document.class.getResourceAsStream("/schema/" + name + ".json")) {
            SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                    .pathType(PathType.JSON_POINTER)
                    .locale(Locale.ENGLISH)
                    .build();
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in, config);
        } catch (IOException e) {
            throw new IllegalStateException("schema " + name + " cannot be read", e);
        }
    }
}

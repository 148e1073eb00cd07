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

/** A JSON document that is valid by one of our schemas (JSON Schema 2020-12). Errors name places by JSON pointers (RFC 6901). */
public final class Document {
    /** Reads JSON strictly, but for comments. */
    public static final ObjectMapper JSON = JsonMapper.builder()
            .enable(JsonParser.Feature.ALLOW_COMMENTS)
            .enable(JsonParser.Feature.STRICT_DUPLICATE_DETECTION)
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .build();

    /** Names the document in messages, as a rule its path. */
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

    /** Validates a tree by {@code schema/NAME.json}; the first violation is thrown with its place and what was found. */
    public static Document of(String name, JsonNode tree, String schema) {
        if (tree == null || tree.isMissingNode()) {
            throw new InvalidInputException(name + ": is empty, a JSON object is expected");
        }
        List<ValidationMessage> violations = schema(schema).validate(tree).stream()
                .sorted(Comparator.comparing((ValidationMessage violation) ->
                                violation.getInstanceLocation().toString())
                        .thenComparing(ValidationMessage::getMessage))
                .toList();
        if (!violations.isEmpty()) {
            ValidationMessage first = violations.get(0);
            String place = first.getInstanceLocation().toString();
            JsonNode found = first.getInstanceNode();
            String what = found == null || found.isContainerNode() ? "" : ", found " + found;
            String more = violations.size() == 1 ? "" : " (and " + (violations.size() - 1) + " more)";
            throw new InvalidInputException(
                    name + ": " + (place.isEmpty() ? "/" : place) + ": " + messageOf(first, place) + what + more);
        }
        return new Document(name, tree);
    }

    private static String messageOf(ValidationMessage violation, String place) {
        String text = violation.getMessage();
        return text.startsWith(place + ": ") ? text.substring(place.length() + 2) : text;
    }

    /** An error that the schema cannot express, for the value at this place. */
    public InvalidInputException invalid(String pointer, String message) {
        return new InvalidInputException(name + ": " + pointer + ": " + message);
    }

    private static JsonSchema schema(String name) {
        try (InputStream in = Document.class.getResourceAsStream("/schema/" + name + ".json")) {
            SchemaValidatorsConfig config = SchemaValidatorsConfig.builder()
                    .pathType(PathType.JSON_POINTER)
                    .locale(Locale.ENGLISH)
                    .build();
            return JsonSchemaFactory.getInstance(SpecVersion.VersionFlag.V202012)
                    .getSchema(in, config);
        } catch (IOException e) {
            throw new IllegalStateException("schema " + name, e);
        }
    }
}

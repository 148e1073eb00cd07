package spartrail.json;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Reads a JSON value of unknown structure into maps, lists, numbers, strings and booleans; for formats that have them,
 * also byte arrays.
 */
public final class JsonTree {
    private JsonTree() {}

    /** Returns the error message of the parser without the source and the location. */
    public static String describe(JsonProcessingException e) {
        return e.getOriginalMessage().replaceAll("\\s*\\(.*", "");
    }

    /** Reads the value that begins at the parser's current token. */
    public static Object readValue(JsonParser parser) throws IOException {
        return switch (parser.currentToken()) {
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                while (parser.nextToken() != JsonToken.END_ARRAY) {
                    list.add(readValue(parser));
                }
                yield list;
            }
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() != JsonToken.END_OBJECT) {
                    String name = parser.currentName();
                    parser.nextToken();
                    map.put(name, readValue(parser));
                }
                yield map;
            }
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> parser.getNumberValue();
            case VALUE_TRUE -> true;
            case VALUE_FALSE -> false;
            case VALUE_NULL -> null;
            case VALUE_EMBEDDED_OBJECT -> parser.getEmbeddedObject();
            default -> parser.getText();
        };
    }
}

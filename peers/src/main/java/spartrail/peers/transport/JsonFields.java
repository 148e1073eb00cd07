package spartrail.peers.transport;

import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.peers.PeerDescriptor;

/** Checked access to the fields of a JSON object in a peers file; exceptions contain the path of the invalid field. */
final class JsonFields {
    private static final int MAX_TEXT_LENGTH = 64;

    private final Map<?, ?> fields;
    private final String path;

    /** Checks that the object at that path has no fields other than those named. */
    JsonFields(Map<?, ?> fields, String path, Set<String> names) {
        this.fields = fields;
        this.path = path;
        for (Object name : fields.keySet()) {
            if (!names.contains(name)) {
                throw new InvalidPeersFileException(pathOf(name) + ": is unknown, one of " + names + " is expected");
            }
        }
    }

    private String pathOf(Object name) {
        return path + "/" + name;
    }

    boolean has(String name) {
        return fields.get(name) != null;
    }

    String requireText(String name) {
        if (fields.get(name) instanceof String text && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH) {
            return text;
        }
        throw InvalidPeersFileException.of(pathOf(name), fields.get(name), "a text of 1 to 64 characters");
    }

    String textOr(String name, String defaultValue) {
        return has(name) ? requireText(name) : defaultValue;
    }

    /** Returns a valid name of a node or fleet. */
    String requireIdentifier(String name) {
        String text = requireText(name);
        if (!PeerDescriptor.isValidName(text)) {
            throw new InvalidPeersFileException(
                    pathOf(name) + ": found '" + text + "', letters, digits, '.', '_' and '-' are expected");
        }
        return text;
    }

    String requireAddress(String name) {
        return checkAddress(requireText(name), pathOf(name));
    }

    private static String checkAddress(String text, String path) {
        if (!SocketAddresses.isValid(text)) {
            throw InvalidPeersFileException.of(path, "'" + text + "'", "an address such as 10.0.3.7:7400");
        }
        return text;
    }

    List<String> readAddresses(String name) {
        List<?> texts = listOr(name, List.of());
        String[] addresses = new String[texts.size()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = checkAddress(String.valueOf(texts.get(i)), pathOf(name) + "/" + i);
        }
        return List.of(addresses);
    }

    List<?> listOr(String name, List<?> defaultValue) {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw InvalidPeersFileException.of(pathOf(name), value, "a list");
    }

    /** Returns the object of that name, or an empty one if the field is absent or not an object. */
    Map<?, ?> objectOrEmpty(String name) {
        return fields.get(name) instanceof Map<?, ?> object ? object : Map.of();
    }

    void requireObjectOrAbsent(String name) {
        if (has(name) && !(fields.get(name) instanceof Map<?, ?>)) {
            throw InvalidPeersFileException.of(pathOf(name), fields.get(name), "an object");
        }
    }

    double positiveNumberOr(String name, double defaultValue) {
        Object value = fields.get(name);
        if (value == null) {
            return defaultValue;
        }
        if (value instanceof Number number && number.doubleValue() > 0) {
            return number.doubleValue();
        }
        throw InvalidPeersFileException.of(pathOf(name), value, "a number above 0");
    }
}

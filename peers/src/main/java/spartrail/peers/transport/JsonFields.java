package spartrail.peers.transport;

import java.util.List;
import java.util.Map;
import java.util.Set;
import spartrail.peers.PeerDescriptor;

/** Checked access to the fields of a JSON object in a peers' file; the place of each field stands in what is thrown. */
final class JsonFields {
    private static final int MAX_TEXT_LENGTH = 64;

    private final Map<?, ?> fields;
    private final String place;

    /** The fields of the object at that place; none may be there but those of these names. */
    JsonFields(Map<?, ?> fields, String place, Set<String> names) {
        this.fields = fields;
        this.place = place;
        for (Object name : fields.keySet()) {
            if (!names.contains(name)) {
                throw new InvalidPeersFileException(placeOf(name) + ": is unknown, one of " + names + " is expected");
            }
        }
    }

    private String placeOf(Object name) {
        return place + "/" + name;
    }

    boolean has(String name) {
        return fields.get(name) != null;
    }

    String text(String name) {
        if (fields.get(name) instanceof String text && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH) {
            return text;
        }
        throw InvalidPeersFileException.of(placeOf(name), fields.get(name), "a text of 1 to 64 signs");
    }

    String textOr(String name, String absent) {
        return has(name) ? text(name) : absent;
    }

    /** A name such as nodes and fleets have. */
    String identifier(String name) {
        String text = text(name);
        if (!PeerDescriptor.isValidName(text)) {
            throw new InvalidPeersFileException(
                    placeOf(name) + ": found '" + text + "', letters, digits, '.', '_' and '-' are expected");
        }
        return text;
    }

    String address(String name) {
        return checkAddress(text(name), placeOf(name));
    }

    private static String checkAddress(String text, String place) {
        if (!SocketAddresses.isValid(text)) {
            throw InvalidPeersFileException.of(place, "'" + text + "'", "an address such as 10.0.3.7:7400");
        }
        return text;
    }

    List<String> addresses(String name) {
        List<?> texts = list(name, List.of());
        String[] addresses = new String[texts.size()];
        for (int i = 0; i < addresses.length; i++) {
            addresses[i] = checkAddress(String.valueOf(texts.get(i)), placeOf(name) + "/" + i);
        }
        return List.of(addresses);
    }

    List<?> list(String name, List<?> absent) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof List<?> list) {
            return list;
        }
        throw InvalidPeersFileException.of(placeOf(name), value, "a list");
    }

    /** The object of that name, empty where the field is absent or none. */
    Map<?, ?> object(String name) {
        return fields.get(name) instanceof Map<?, ?> object ? object : Map.of();
    }

    void requireObjectOrAbsent(String name) {
        if (has(name) && !(fields.get(name) instanceof Map<?, ?>)) {
            throw InvalidPeersFileException.of(placeOf(name), fields.get(name), "an object");
        }
    }

    double positiveNumber(String name, double absent) {
        Object value = fields.get(name);
        if (value == null) {
            return absent;
        }
        if (value instanceof Number number && number.doubleValue() > 0) {
            return number.doubleValue();
        }
        throw InvalidPeersFileException.of(placeOf(name), value, "a number above 0");
    }
}

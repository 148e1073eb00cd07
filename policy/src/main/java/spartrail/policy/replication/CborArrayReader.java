package spartrail.policy.replication;

import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import spartrail.json.JsonTree;
import spartrail.model.MalformedMessageException;

/**
 * Reads the values of a CBOR array in order. Values that the caller does not read are ignored, so that a later version
 * may add values at the end.
 */
final class CborArrayReader {
    private static final CBORFactory CBOR = new CBORFactory();

    private final List<?> values;
    private int position;

    private CborArrayReader(List<?> values) {
        this.values = values;
    }

    /** A reader of the array that these bytes hold. */
    static CborArrayReader of(byte[] bytes) throws MalformedMessageException {
        try (JsonParser parser = CBOR.createParser(bytes)) {
            if (parser.nextToken() == null || !(JsonTree.readValue(parser) instanceof List<?> values)) {
                throw new MalformedMessageException("found no array, an array is expected");
            }
            return new CborArrayReader(values);
        } catch (IOException | RuntimeException e) {
            throw new MalformedMessageException("found bytes that are not valid CBOR, an array is expected", e);
        }
    }

    /** The next value, a whole number. */
    long nextLong() throws MalformedMessageException {
        return next(Number.class).longValue();
    }

    /** The next value, a whole number of 32 bits. */
    int nextInt() throws MalformedMessageException {
        return next(Number.class).intValue();
    }

    /** The next value, a text. */
    String nextText() throws MalformedMessageException {
        return next(String.class);
    }

    /** The next value, a flag. */
    boolean nextFlag() throws MalformedMessageException {
        return next(Boolean.class);
    }

    /** The next value, an array. */
    CborArrayReader nextArray() throws MalformedMessageException {
        return new CborArrayReader(next(List.class));
    }

    /** The next value if it is an array; null for a value of any other type. */
    CborArrayReader nextArrayOrNull() throws MalformedMessageException {
        return next(Object.class) instanceof List<?> array ? new CborArrayReader(array) : null;
    }

    /** The next value, an array of texts. */
    List<String> nextTexts() throws MalformedMessageException {
        CborArrayReader array = nextArray();
        List<String> texts = new ArrayList<>();
        while (array.hasNext()) {
            texts.add(array.nextText());
        }
        return texts;
    }

    /** Whether unread values are left. */
    boolean hasNext() {
        return position < values.size();
    }

    private <T> T next(Class<T> type) throws MalformedMessageException {
        if (!hasNext()) {
            throw new MalformedMessageException(
                    "found " + values.size() + " values, " + typeName(type) + " is expected after them");
        }
        Object value = values.get(position);
        if (!type.isInstance(value)) {
            throw new MalformedMessageException(
                    "found " + value + " as value " + position + ", " + typeName(type) + " is expected");
        }
        position++;
        return type.cast(value);
    }

    private static String typeName(Class<?> type) {
        return "a value of type " + type.getSimpleName();
    }
}

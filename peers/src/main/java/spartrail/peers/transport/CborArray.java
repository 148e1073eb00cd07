package spartrail.peers.transport;

import java.util.List;
import spartrail.peers.transport.MalformedDatagramException.Problem;

/**
 * Typed access to the values of a decoded CBOR array. Additional values at the end, as later versions may write them,
 * are ignored. An absent value or one of another type makes the datagram malformed.
 */
final class CborArray {
    private final List<?> values;

    private CborArray(List<?> values) {
        this.values = values;
    }

    static CborArray of(Object value) throws MalformedDatagramException {
        if (value instanceof List<?> list) {
            return new CborArray(list);
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }

    int size() {
        return values.size();
    }

    /** The value at that index, which may be null. */
    Object valueAt(int index) throws MalformedDatagramException {
        if (index >= values.size()) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        return values.get(index);
    }

    CborArray arrayAt(int index) throws MalformedDatagramException {
        return of(valueAt(index));
    }

    /** The string at that index, which may be null. */
    String textAt(int index) throws MalformedDatagramException {
        Object value = valueAt(index);
        if (value == null || value instanceof String) {
            return (String) value;
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }

    Number numberAt(int index) throws MalformedDatagramException {
        if (valueAt(index) instanceof Number number) {
            return number;
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }
}

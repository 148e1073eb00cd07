package spartrail.peers.transport;

import java.util.List;
import spartrail.peers.transport.MalformedDatagramException.Problem;

/** Typed access to the values of a decoded CBOR array; those beyond the ones that are asked for are passed over. */
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

    /** The value at that index, or null. */
    Object value(int index) throws MalformedDatagramException {
        if (index >= values.size()) {
            throw new MalformedDatagramException(Problem.UNREADABLE);
        }
        return values.get(index);
    }

    CborArray array(int index) throws MalformedDatagramException {
        return of(value(index));
    }

    /** The text at that index, or null. */
    String text(int index) throws MalformedDatagramException {
        Object value = value(index);
        if (value == null || value instanceof String) {
            return (String) value;
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }

    Number number(int index) throws MalformedDatagramException {
        if (value(index) instanceof Number number) {
            return number;
        }
        throw new MalformedDatagramException(Problem.UNREADABLE);
    }
}

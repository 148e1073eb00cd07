package spartrail.policy.replication;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.dataformat.cbor.CBORFactory;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Collection;
import java.util.function.Consumer;

/**
 * Writes nested CBOR arrays of numbers, texts and flags. All arrays have indefinite length, as in stored logs and in
 * messages of other versions.
 */
final class CborArrayWriter {
    private static final CBORFactory CBOR = new CBORFactory();
    private static final int INITIAL_CAPACITY_BYTES = 256;

    private interface GeneratorCall {
        void run() throws IOException;
    }

    private final JsonGenerator generator;

    private CborArrayWriter(JsonGenerator generator) {
        this.generator = generator;
    }

    /** The bytes of an array with this content. */
    static byte[] encode(Consumer<CborArrayWriter> content) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_CAPACITY_BYTES);
        try (JsonGenerator generator = CBOR.createGenerator(bytes)) {
            new CborArrayWriter(generator).array(content);
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return bytes.toByteArray();
    }

    /** Adds an array with this content. */
    CborArrayWriter array(Consumer<CborArrayWriter> content) {
        write(generator::writeStartArray);
        content.accept(this);
        return write(generator::writeEndArray);
    }

    /** Adds a number in its shortest encoding. */
    CborArrayWriter number(long value) {
        return write(() -> generator.writeNumber(value));
    }

    /** Adds a text. */
    CborArrayWriter text(String value) {
        return write(() -> generator.writeString(value));
    }

    /** Adds a flag. */
    CborArrayWriter flag(boolean value) {
        return write(() -> generator.writeBoolean(value));
    }

    /** Adds an array of texts. */
    CborArrayWriter texts(Collection<String> values) {
        return array(array -> values.forEach(array::text));
    }

    private CborArrayWriter write(GeneratorCall call) {
        try {
            call.run();
        } catch (IOException e) {
            throw new UncheckedIOException("writing to memory", e);
        }
        return this;
    }
}

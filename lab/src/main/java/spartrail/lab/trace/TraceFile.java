package spartrail.lab.trace;

import java.io.BufferedInputStream;
import java.io.BufferedOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.zip.GZIPInputStream;
import java.util.zip.GZIPOutputStream;
import spartrail.lab.file.InvalidInputException;

/**
 * The compact file format of a trace: a magic number, then records compressed by gzip, then an end record with the
 * number of records, by which the reader detects a truncated file. Integers are base-128 varints with the low bits
 * first; times are differences in microseconds.
 */
final class TraceFile {
    static final byte[] MAGIC = {'S', 'P', 'T', 'R', 'A', 'C', 'E', '1'};
    private static final int END = 0;
    private static final int LINE = 1;
    private static final int LINE_WEIGHTED = 2;

    private TraceFile() {}

    /** Writes a trace file. */
    static final class Writer implements AutoCloseable {
        private final DataOutputStream out;
        private final Map<String, Integer> opTypes = new HashMap<>();
        private double lastMs = Double.NaN;
        private long count;

        Writer(Path file) throws IOException {
            var raw = new BufferedOutputStream(Files.newOutputStream(file), 1 << 16);
            raw.write(MAGIC);
            out = new DataOutputStream(new BufferedOutputStream(new GZIPOutputStream(raw, 1 << 15), 1 << 15));
        }

        void write(TraceLine line) throws IOException {
            out.writeByte(line.weights() == null ? LINE : LINE_WEIGHTED);
            long micros = Double.isNaN(lastMs) ? 0 : Math.round(1000 * (line.atMs() - lastMs));
            // The rounded time is the next base, so that rounding errors do not add up.
            lastMs = Double.isNaN(lastMs) ? line.atMs() : lastMs + micros / 1000.0;
            writeVarint(micros);
            Integer opType = opTypes.get(line.opType());
            if (opType == null) {
                writeVarint(opTypes.size());
                opTypes.put(line.opType(), opTypes.size());
                out.writeUTF(line.opType());
            } else {
                writeVarint(opType);
            }
            out.writeUTF(line.key());
            writeVarint(line.shards().length);
            for (int i = 0; i < line.shards().length; i++) {
                writeVarint(line.shards()[i]);
                if (line.weights() != null) {
                    out.writeFloat((float) line.weights()[i]);
                }
            }
            writeVarint(Math.round(1000 * line.workMs()));
            writeVarint(line.textBytes());
            writeVarint(Math.round(1000 * line.clientMs()));
            count++;
        }

        private void writeVarint(long value) throws IOException {
            long rest = Math.max(0, value);
            while (rest >= 128) {
                out.writeByte((int) (rest & 127 | 128));
                rest >>>= 7;
            }
            out.writeByte((int) rest);
        }

        /** Writes the end record. */
        void finish() throws IOException {
            out.writeByte(END);
            out.writeLong(count);
        }

        @Override
        public void close() throws IOException {
            out.close();
        }
    }

    /** Reads a trace file. */
    static final class Reader implements AutoCloseable {
        private final DataInputStream in;
        private final String name;
        private final List<String> opTypes = new ArrayList<>();
        private double atMs;
        private long count;

        Reader(Path file) throws IOException {
            name = file.toString();
            BufferedInputStream raw = new BufferedInputStream(Files.newInputStream(file), 1 << 16);
            if (!Arrays.equals(raw.readNBytes(MAGIC.length), MAGIC)) {
                raw.close();
                throw new InvalidInputException(name + ": is not a trace file; create one with: spartrail load import");
            }
            in = new DataInputStream(new BufferedInputStream(new GZIPInputStream(raw, 1 << 15), 1 << 15));
        }

        /** Reads the next line, whose time counts from the first one; null at the end. */
        TraceLine readNext() throws IOException {
            try {
                int kind = in.readByte();
                if (kind == END) {
                    long expectedCount = in.readLong();
                    if (expectedCount != count) {
                        throw new InvalidInputException(
                                name + ": holds " + count + " multigets, its end record says " + expectedCount);
                    }
                    return null;
                }
                atMs += readVarint() / 1000.0;
                int opType = (int) readVarint();
                if (opType == opTypes.size()) {
                    opTypes.add(in.readUTF());
                }
                String key = in.readUTF();
                int[] shards = new int[(int) readVarint()];
                double[] weights = kind == LINE_WEIGHTED ? new double[shards.length] : null;
                for (int i = 0; i < shards.length; i++) {
                    shards[i] = (int) readVarint();
                    if (weights != null) {
                        weights[i] = in.readFloat();
                    }
                }
                TraceLine line = new TraceLine(
                        atMs,
                        opTypes.get(opType),
                        key,
                        shards,
                        weights,
                        readVarint() / 1000.0,
                        (int) readVarint(),
                        readVarint() / 1000.0);
                count++;
                return line;
            } catch (EOFException e) {
                throw new InvalidInputException(name + ": is truncated after " + count + " multigets");
            }
        }

        private long readVarint() throws IOException {
            long value = 0;
            for (int shift = 0; shift < 63; shift += 7) {
                int group = in.readByte();
                value |= (long) (group & 127) << shift;
                if (group >= 0) {
                    return value;
                }
            }
            throw new InvalidInputException(name + ": is corrupt after " + count + " multigets");
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }
}

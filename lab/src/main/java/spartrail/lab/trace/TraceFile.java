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
 * The compact file format of a trace: a magic number, then records under gzip, then an end record with their count, so that a truncated
 * file is detected. Integers are base-128 varints with the low bits first; times are differences in microseconds.
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
            varint(micros);
            Integer opType = opTypes.get(line.opType());
            if (opType == null) {
                varint(opTypes.size());
                opTypes.put(line.opType(), opTypes.size());
                out.writeUTF(line.opType());
            } else {
                varint(opType);
            }
            out.writeUTF(line.key());
            varint(line.shards().length);
            for (int i = 0; i < line.shards().length; i++) {
                varint(line.shards()[i]);
                if (line.weights() != null) {
                    out.writeFloat((float) line.weights()[i]);
                }
            }
            varint(Math.round(1000 * line.workMs()));
            varint(line.textBytes());
            varint(Math.round(1000 * line.clientMs()));
            count++;
        }

        private void varint(long value) throws IOException {
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
                throw new InvalidInputException(name + ": is no trace; make one with: spartrail load import");
            }
            in = new DataInputStream(new BufferedInputStream(new GZIPInputStream(raw, 1 << 15), 1 << 15));
        }

        /** The next line, its time from 0 on, or null at the end. */
        TraceLine next() throws IOException {
            try {
                int kind = in.readByte();
                if (kind == END) {
                    if (in.readLong() != count) {
                        throw new InvalidInputException(name + ": its number of multigets is not what its end says");
                    }
                    return null;
                }
                atMs += varint() / 1000.0;
                int opType = (int) varint();
                if (opType == opTypes.size()) {
                    opTypes.add(in.readUTF());
                }
                String key = in.readUTF();
                int[] shards = new int[(int) varint()];
                double[] weights = kind == LINE_WEIGHTED ? new double[shards.length] : null;
                for (int i = 0; i < shards.length; i++) {
                    shards[i] = (int) varint();
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
                        varint() / 1000.0,
                        (int) varint(),
                        varint() / 1000.0);
                count++;
                return line;
            } catch (EOFException e) {
                throw new InvalidInputException(name + ": is cut after " + count + " multigets");
            }
        }

        private long varint() throws IOException {
            long value = 0;
            for (int shift = 0; shift < 63; shift += 7) {
                int more = in.readByte();
                value |= (long) (more & 127) << shift;
                if (more >= 0) {
                    return value;
                }
            }
            throw new InvalidInputException(name + ": is spoilt after " + count + " multigets");
        }

        @Override
        public void close() throws IOException {
            in.close();
        }
    }
}

package spartrail.lab.trace;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Instant;
import java.time.format.DateTimeParseException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.zip.GZIPInputStream;
import org.apache.commons.csv.CSVFormat;
import org.apache.commons.csv.CSVParser;
import org.apache.commons.csv.CSVRecord;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;

/** Imports a recorded trace, CSV or JSON lines, into a {@link TraceFile}. */
public final class TraceImport {
    /**
     * The names of the columns, and the op types and shards that a line may have.
     *
     * @param unit of the time: ms, s, us, ns or iso
     * @param opTypes the known op types; any is accepted if the list is empty
     * @param shards number of the shards, which are numbered from 0; if it is 0, a line may have any shard number
     * @param skipUnknown skips lines with unknown op types or shards instead of rejecting the trace
     * @param clientDefaultMs time that the client waits, for lines without one
     */
    public record Columns(
            String at,
            String unit,
            String opType,
            String key,
            String shardList,
            String weights,
            String workMs,
            String textBytes,
            String clientMs,
            List<String> opTypes,
            int shards,
            boolean skipUnknown,
            double clientDefaultMs) {
        /** The columns of a document that is valid by the schema {@code columns}. */
        public static Columns of(Document document) {
            JsonNode tree = document.tree;
            JsonNode names = tree.path("columns");
            List<String> known = new ArrayList<>();
            tree.path("opTypes").forEach(opType -> known.add(opType.asText()));
            return new Columns(
                    names.path("at").asText("atMs"),
                    tree.path("unit").asText("ms"),
                    names.path("opType").asText("opType"),
                    names.path("key").asText("key"),
                    names.path("shards").asText("shards"),
                    names.path("weights").asText("weights"),
                    names.path("workMs").asText("workMs"),
                    names.path("textBytes").asText("textBytes"),
                    names.path("clientMs").asText("clientMs"),
                    known,
                    tree.path("shards").asInt(0),
                    tree.path("unknown").asText("refuse").equals("skip"),
                    tree.path("clientMs").asDouble(2000));
        }

        /** The columns of a front node's record. */
        public static Columns ofRecord() {
            return of(Document.of("columns", Document.JSON.createObjectNode(), "columns"));
        }
    }

    private static final ObjectMapper LINES = new ObjectMapper();

    private final Columns columns;
    private final Reorder reorder;
    private final String name;
    private long skippedLines;
    private long incompleteLines;
    private long lines;

    private TraceImport(Columns columns, Reorder reorder, String name) {
        this.columns = columns;
        this.reorder = reorder;
        this.name = name;
    }

    /** Imports a file; returns counts of lines, multigets and irregularities. */
    public static ObjectNode run(
            Path from,
            Path to,
            Columns columns,
            double reorderMs,
            boolean clamp,
            double squeezeMs,
            boolean keepDuplicates)
            throws IOException {
        if (!Files.isReadable(from)) {
            throw new InvalidInputException(from + ": cannot be read");
        }
        Path part = to.resolveSibling(to.getFileName() + ".part");
        try (TraceFile.Writer writer = new TraceFile.Writer(part)) {
            Reorder reorder = new Reorder(reorderMs, clamp, squeezeMs, keepDuplicates, line -> {
                try {
                    writer.write(line);
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            });
            TraceImport traceImport = new TraceImport(columns, reorder, from.toString());
            traceImport.read(from);
            reorder.finish();
            writer.finish();
            Files.move(part, to, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
            return traceImport.countsAsJson();
        } finally {
            Files.deleteIfExists(part);
        }
    }

    private ObjectNode countsAsJson() {
        return Document.JSON
                .createObjectNode()
                .put("lines", lines)
                .put("multigets", reorder.released)
                .put("putIntoOrder", reorder.sorted)
                .put("clamped", reorder.clamped)
                .put("clockSteps", reorder.clockSteps)
                .put("duplicates", reorder.duplicates)
                .put("gapsSqueezed", reorder.squeezedGaps)
                .put("unknownLeftOut", skippedLines)
                .put("tornLastLine", incompleteLines);
    }

    private void read(Path from) throws IOException {
        try (var raw = Files.newInputStream(from);
                var in = from.toString().endsWith(".gz") ? new GZIPInputStream(raw) : raw;
                BufferedReader reader =
                        new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8), 1 << 16)) {
            reader.mark(4);
            int first = reader.read();
            if (first != 0xFEFF) {
                reader.reset();
            }
            reader.mark(4);
            first = reader.read();
            reader.reset();
            if (first < 0) {
                throw new InvalidInputException(name + ": is empty");
            }
            if (first == '{') {
                readJsonLines(reader);
            } else {
                readCsv(reader);
            }
        } catch (UncheckedIOException e) {
            throw e.getCause();
        }
    }

    /** Reads JSON lines. The last one may be incomplete: a record that is still being written ends anywhere. */
    private void readJsonLines(BufferedReader reader) throws IOException {
        String line = reader.readLine();
        for (long number = 1; line != null; number++) {
            String next = reader.readLine();
            if (!line.isBlank()) {
                JsonNode tree;
                try {
                    tree = LINES.readTree(line);
                } catch (JsonProcessingException e) {
                    if (next == null) {
                        incompleteLines++;
                        return;
                    }
                    throw new InvalidInputException(name + ":" + number + ": no JSON object");
                }
                addRow(number, line, column -> {
                    JsonNode value = tree.path(column);
                    if (value.isMissingNode() || value.isNull()) {
                        return "";
                    }
                    return value.isArray() ? joinValues(value) : value.asText();
                });
            }
            line = next;
        }
    }

    private static String joinValues(JsonNode array) {
        StringBuilder text = new StringBuilder();
        array.forEach(value -> text.append(text.length() == 0 ? "" : ";").append(value.asText()));
        return text.toString();
    }

    private void readCsv(BufferedReader reader) throws IOException {
        CSVFormat format = CSVFormat.DEFAULT
                .builder()
                .setHeader()
                .setSkipHeaderRecord(true)
                .setTrim(true)
                .get();
        try (CSVParser parser =
                CSVParser.builder().setReader(reader).setFormat(format).get()) {
            if (!parser.getHeaderMap().containsKey(columns.at())) {
                throw new InvalidInputException(
                        name + ":1: no column '" + columns.at() + "', found " + parser.getHeaderNames());
            }
            CSVRecord previous = null;
            long previousLine = 0;
            var records = parser.iterator();
            while (true) {
                boolean more;
                CSVRecord record = null;
                try {
                    more = records.hasNext();
                    record = more ? records.next() : null;
                } catch (UncheckedIOException | IllegalStateException e) {
                    // The last line of the file has an unclosed quote.
                    more = false;
                    incompleteLines++;
                }
                if (previous != null) {
                    boolean last = record == null;
                    if (!previous.isConsistent()) {
                        if (!last) {
                            throw new InvalidInputException(name + ":" + previousLine + ": " + previous.size()
                                    + " columns, " + parser.getHeaderNames().size() + " are expected");
                        }
                        incompleteLines++;
                    } else {
                        CSVRecord line = previous;
                        addRow(
                                previousLine,
                                String.join(",", line.values()),
                                column -> line.isMapped(column) ? line.get(column) : "");
                    }
                }
                if (!more) {
                    return;
                }
                previous = record;
                previousLine = parser.getCurrentLineNumber();
            }
        }
    }

    /** The values of one line by the names of their columns; empty if there is none. */
    private interface Row {
        String get(String column);
    }

    private void addRow(long number, String raw, Row row) {
        lines++;
        double atMs = parseTimeMs(number, row.get(columns.at()));
        String opType = row.get(columns.opType());
        if (opType.isEmpty()) {
            throw invalidColumn(number, columns.opType(), "is missing");
        }
        if (!columns.opTypes().isEmpty() && !columns.opTypes().contains(opType)) {
            skipOrReject(number, "unknown op type '" + opType + "', known are " + columns.opTypes());
            return;
        }
        int[] shards = parseShards(number, row.get(columns.shardList()));
        if (shards == null) {
            return;
        }
        String work = row.get(columns.workMs());
        int semicolon = work.indexOf(';');
        reorder.add(
                new TraceLine(
                        atMs,
                        opType,
                        row.get(columns.key()),
                        shards,
                        parseWeights(number, row.get(columns.weights()), shards.length),
                        parseNumber(number, columns.workMs(), semicolon < 0 ? work : work.substring(0, semicolon), 0),
                        (int) parseNumber(number, columns.textBytes(), row.get(columns.textBytes()), 16),
                        parseNumber(
                                number, columns.clientMs(), row.get(columns.clientMs()), columns.clientDefaultMs())),
                number,
                hash(raw),
                name);
    }

    /** Parses the shards; null if one of them is unknown and the line is skipped. */
    private int[] parseShards(long number, String list) {
        String[] words = list.split("[;\\s]+");
        int[] shards = new int[words.length];
        for (int i = 0; i < words.length; i++) {
            try {
                shards[i] = Integer.parseInt(words[i]);
            } catch (NumberFormatException e) {
                throw invalidColumn(
                        number, columns.shardList(), "found '" + list + "', numbers separated by ; are expected");
            }
            if (shards[i] < 0 || columns.shards() > 0 && shards[i] >= columns.shards()) {
                skipOrReject(number, "unknown shard " + shards[i] + ", there are 0 to " + (columns.shards() - 1));
                return null;
            }
        }
        return shards;
    }

    /** Parses the weights; null if the line has none. */
    private double[] parseWeights(long number, String list, int shardCount) {
        if (list.isEmpty()) {
            return null;
        }
        String[] words = list.split("[;\\s]+");
        if (words.length != shardCount) {
            throw invalidColumn(
                    number,
                    columns.weights(),
                    "found " + words.length + " weights, one for each of " + shardCount + " shards is expected");
        }
        double[] weights = new double[words.length];
        for (int i = 0; i < words.length; i++) {
            weights[i] = parseNumber(number, columns.weights(), words[i], 0);
        }
        return weights;
    }

    private void skipOrReject(long number, String problem) {
        if (!columns.skipUnknown()) {
            throw new InvalidInputException(
                    name + ":" + number + ": " + problem + "; \"unknown\": \"skip\" in the columns leaves it out");
        }
        skippedLines++;
    }

    private InvalidInputException invalidColumn(long number, String column, String problem) {
        return new InvalidInputException(name + ":" + number + ": column '" + column + "': " + problem);
    }

    private double parseTimeMs(long number, String text) {
        if (columns.unit().equals("iso")) {
            try {
                Instant at = Instant.parse(text);
                return at.getEpochSecond() * 1000.0 + at.getNano() / 1e6;
            } catch (DateTimeParseException e) {
                throw invalidColumn(
                        number, columns.at(), "found '" + text + "', a time such as 2026-06-24T18:00:00Z is expected");
            }
        }
        double value = parseNumber(number, columns.at(), text, Double.NaN);
        if (!Double.isFinite(value)) {
            throw invalidColumn(
                    number, columns.at(), "found '" + text + "', a time in " + columns.unit() + " is expected");
        }
        return switch (columns.unit()) {
            case "s" -> value * 1000;
            case "us" -> value / 1000;
            case "ns" -> value / 1e6;
            default -> value;
        };
    }

    private double parseNumber(long line, String column, String text, double defaultValue) {
        if (text.isEmpty()) {
            return defaultValue;
        }
        try {
            return Double.parseDouble(text);
        } catch (NumberFormatException e) {
            throw invalidColumn(line, column, String.format(Locale.ROOT, "found '%s', a number is expected", text));
        }
    }

    private static long hash(String text) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }
}

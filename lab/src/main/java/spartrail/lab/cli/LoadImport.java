package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.trace.TraceImport;

/** Converts a recording of requests to a trace file. */
final class LoadImport extends Command {
    @Argument(
            required = true,
            metaVar = "FILE",
            usage =
                    "the recording: CSV with a header line, JSON lines, or the record of a front node; may be compressed (.gz)")
    private Path recording;

    @Option(name = "--out", metaVar = "TRACE", required = true, usage = "trace file to write")
    private Path trace;

    @Option(
            name = "--columns",
            metaVar = "FILE",
            usage =
                    "file that maps the column names of the recording (default: the names in the record of a front node)")
    private Path columns;

    @Option(
            name = "--reorder-ms",
            metaVar = "MS",
            usage = "sort lines that are out of order by at most this time (default 1000)")
    private double reorderMs = 1000;

    @Option(
            name = "--clamp",
            usage = "adjust the times of lines that are further out of order, instead of rejecting the recording")
    private boolean clamp;

    @Option(name = "--squeeze", metaVar = "MS", usage = "shorten longer gaps between lines to this time")
    private double squeezeMs;

    @Option(name = "--keep-duplicates", usage = "keep lines that repeat a preceding line")
    private boolean keepDuplicates;

    @Override
    String summary() {
        return "converts a recording to a compact trace; irregular lines are counted, or rejected with their line number";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        TraceImport.Columns columnNames = columns == null
                ? TraceImport.Columns.ofRecord()
                : TraceImport.Columns.of(Document.read(columns, "columns"));
        out.println(Document.JSON.writeValueAsString(
                TraceImport.run(recording, trace, columnNames, reorderMs, clamp, squeezeMs, keepDuplicates)));
        return 0;
    }
}

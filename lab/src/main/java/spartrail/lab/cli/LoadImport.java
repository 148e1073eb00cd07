package spartrail.lab.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.Document;
import spartrail.lab.trace.TraceImport;

/** Makes a trace of a recording. */
final class LoadImport extends Command {
    @Argument(
            required = true,
            metaVar = "FILE",
            usage = "CSV with a head line, JSON lines, or a front node's record; .gz too")
    private Path file;

    @Option(name = "--out", metaVar = "TRACE", required = true, usage = "the trace to write")
    private Path trace;

    @Option(name = "--columns", metaVar = "FILE", usage = "what the columns are called (default: our own names)")
    private Path columns;

    @Option(name = "--reorder-ms", metaVar = "MS", usage = "lines are put into order within so long (default 1000)")
    private double reorderMs = 1000;

    @Option(name = "--clamp", usage = "move up what is out of order beyond that instead of refusing the trace")
    private boolean clamp;

    @Option(name = "--squeeze", metaVar = "MS", usage = "shorten longer gaps to this")
    private double squeezeMs;

    @Option(name = "--keep-duplicates", usage = "keep lines that are the same as one just before")
    private boolean keepDuplicates;

    @Override
    String summary() {
        return "makes a compact trace of a recording; what is odd about it is counted or refused with its line";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        TraceImport.Columns named = columns == null
                ? TraceImport.Columns.ofRecord()
                : TraceImport.Columns.of(Document.read(columns, "columns"));
        out.println(Document.JSON.writeValueAsString(
                TraceImport.run(file, trace, named, reorderMs, clamp, squeezeMs, keepDuplicates)));
        return 0;
    }
}

package spartrail.lab.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Iterator;
import java.util.List;
import spartrail.lab.file.Document;
import spartrail.lab.load.LoadListener;
import spartrail.lab.load.LoadReport;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.LoadPlan;
import sun.misc.Signal;

/** Runs a load session with a live view. SIGINT ends the run early; the report is written in that case, too. */
final class LoadRunner {
    private LoadRunner() {}

    static int run(
            LoadPlan plan,
            Iterator<Arrival> arrivals,
            double lastsMs,
            boolean json,
            Path reportFile,
            PrintStream out,
            PrintStream err)
            throws Exception {
        try (LoadSession session = new LoadSession(plan, arrivals, lastsMs, LoadListener.NONE);
                LiveView live = new LiveView(err, List::of)) {
            Signal.handle(new Signal("INT"), signal -> session.stop("ended by SIGINT before the plan was complete"));
            while (!session.await(500)) {
                live.show(session.snapshot());
            }
            ObjectNode tree = session.report();
            writeReport(reportFile, tree);
            if (json) {
                out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree));
            } else {
                out.print(LoadReport.text(tree));
            }
            return tree.get("fit").asBoolean() ? 0 : 1;
        }
    }

    static void writeReport(Path reportFile, ObjectNode tree) throws IOException {
        if (reportFile != null) {
            Files.writeString(
                    reportFile, Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree) + "\n");
        }
    }
}

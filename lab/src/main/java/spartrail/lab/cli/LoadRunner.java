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

/** A run from the command line: a live view, SIGINT that ends it in order, a report that is written in any case. */
final class LoadRunner {
    private LoadRunner() {}

    static int run(
            LoadPlan plan,
            Iterator<Arrival> arrivals,
            double lastsMs,
            boolean json,
            Path file,
            PrintStream out,
            PrintStream err)
            throws Exception {
        try (LoadSession session = new LoadSession(plan, arrivals, lastsMs, LoadListener.NONE);
                LiveView live = new LiveView(err, List::of)) {
            Signal.handle(new Signal("INT"), signal -> session.stop("ended by SIGINT before the plan was through"));
            while (!session.await(500)) {
                live.show(session.snapshot());
            }
            ObjectNode tree = session.report();
            write(file, tree);
            if (json) {
                out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree));
            } else {
                out.print(LoadReport.text(tree));
            }
            return tree.get("fit").asBoolean() ? 0 : 1;
        }
    }

    static void write(Path file, ObjectNode tree) throws IOException {
        if (file != null) {
            Files.writeString(
                    file, Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(tree) + "\n");
        }
    }
}

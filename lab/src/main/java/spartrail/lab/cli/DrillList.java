package spartrail.lab.cli;

import java.io.PrintStream;
import org.kohsuke.args4j.Option;
import spartrail.lab.drill.Drill;
import spartrail.lab.drill.Drills;
import spartrail.lab.file.Document;

/** Lists the drills with their subjects and summaries. */
final class DrillList extends Command {
    @Option(name = "--json", usage = "print the list as JSON")
    private boolean json;

    @Override
    String summary() {
        return "lists the drills: scenarios that check their own results against expected values";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        var list = Document.JSON.createArrayNode();
        for (Drill drill : Drills.all()) {
            list.addObject()
                    .put("name", drill.name())
                    .put("about", drill.subsystem())
                    .put("summary", drill.summary());
            if (!json) {
                out.printf("%-20s %-18s %s%n", drill.name(), drill.subsystem(), drill.summary());
            }
        }
        if (json) {
            out.println(Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(list));
        }
        return 0;
    }
}

package spartrail.lab.cli;

import java.io.PrintStream;
import spartrail.lab.scale.ScaleTest;
import spartrail.lab.scale.ScaleTests;

/** Lists scale tests. */
final class ScaleList extends Command {
    @Override
    String summary() {
        return "lists the scale tests";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        for (ScaleTest test : ScaleTests.all(0)) {
            out.printf("%-20s %s, by %s in %s%n", test.name(), test.summary(), test.size(), test.unit());
        }
        return 0;
    }
}

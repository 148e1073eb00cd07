package spartrail.lab.cli;

import java.io.PrintStream;
import spartrail.lab.scale.ScaleTest;
import spartrail.lab.scale.ScaleTests;

/** Lists the scale tests with the quantities that they measure. */
final class ScaleList extends Command {
    @Override
    String summary() {
        return "lists the scale tests with the sizes they vary and the units of their results";
    }

    @Override
    int run(PrintStream out, PrintStream err) {
        for (ScaleTest test : ScaleTests.all(0)) {
            out.printf("%-20s %s, by %s in %s%n", test.name(), test.summary(), test.size(), test.unit());
        }
        return 0;
    }
}

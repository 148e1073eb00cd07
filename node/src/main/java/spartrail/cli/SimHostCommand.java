package spartrail.cli;

import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import spartrail.sim.SimHost;

/**
 * Runs coordinators for the simulator, which sends events on the standard input and reads decisions from the output.
 */
public final class SimHostCommand implements Command {
    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        return new SimHost(new OutputStreamWriter(out, StandardCharsets.UTF_8), err)
                .run(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
}

package spartrail.cli;

import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import spartrail.sim.SimHost;

/** Hosts decision modules on the simulator's wire. */
public final class SimHostCommand implements Command {
    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        return new SimHost(new OutputStreamWriter(out, StandardCharsets.UTF_8), err)
                .run(new InputStreamReader(System.in, StandardCharsets.UTF_8));
    }
}

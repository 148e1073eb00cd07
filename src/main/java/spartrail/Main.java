package spartrail;

import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.io.Reader;
import java.io.Writer;
import java.nio.charset.StandardCharsets;
import spartrail.sim.SimHost;

/** Command line: {@code spartrail simhost} hosts decision modules on the simulator's wire. */
public final class Main {
    private Main() {
    }

    public static void main(String[] args) throws IOException {
        if (args.length != 1 || !args[0].equals("simhost")) {
            System.err.println("usage: java -jar spartrail.jar simhost");
            System.exit(2);
        }
        Reader in = new InputStreamReader(System.in, StandardCharsets.UTF_8);
        Writer out = new OutputStreamWriter(System.out, StandardCharsets.UTF_8);
        System.exit(new SimHost(out, System.err).run(in));
    }
}

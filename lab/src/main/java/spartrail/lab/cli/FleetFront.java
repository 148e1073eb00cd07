package spartrail.lab.cli;

import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.Option;
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.fleet.FrontLayer;
import spartrail.lab.net.SocketLoop;
import sun.misc.Signal;

/** Runs a layer that spreads clients over front nodes. */
final class FleetFront extends Command {
    @Argument(required = true, metaVar = "HOST:PORT", usage = "front nodes on the loopback")
    private List<String> nodes = new ArrayList<>();

    @Option(name = "--port", metaVar = "N", usage = "where clients connect (default: a free port)")
    private int port;

    @Option(
            name = "--notice-ms",
            metaVar = "MS",
            usage = "a node that is ready or gone counts as such so much later (default 1000)")
    private double noticeMs = 1000;

    @Override
    String summary() {
        return "runs a layer that spreads clients' connections over the front nodes that are up, until SIGINT or SIGTERM";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String node : nodes) {
            if (!node.matches("127(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
                throw new InvalidInputException(
                        "found '" + node + "', an address of the loopback such as 127.0.0.1:3000 is expected");
            }
            addresses.add(new InetSocketAddress(node.split(":")[0], Integer.parseInt(node.split(":")[1])));
        }
        CountDownLatch over = new CountDownLatch(1);
        Signal.handle(new Signal("INT"), signal -> over.countDown());
        Signal.handle(new Signal("TERM"), signal -> over.countDown());
        try (SocketLoop loop = new SocketLoop("spartrail-front-layer");
                FrontLayer layer = new FrontLayer(loop, port, addresses, noticeMs)) {
            out.println("clients connect to 127.0.0.1:" + layer.port());
            over.await();
        }
        return 0;
    }
}

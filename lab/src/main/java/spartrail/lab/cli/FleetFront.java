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

/** Runs a connection balancer that distributes client connections over front nodes. */
final class FleetFront extends Command {
    @Argument(required = true, metaVar = "HOST:PORT", usage = "loopback addresses of the front nodes")
    private List<String> nodes = new ArrayList<>();

    @Option(name = "--port", metaVar = "N", usage = "port that clients connect to (default: a free port)")
    private int port;

    @Option(
            name = "--notice-ms",
            metaVar = "MS",
            usage = "delay until a node that becomes ready or unavailable is treated as such (default 1000)")
    private double noticeMs = 1000;

    @Override
    String summary() {
        return "distributes client connections over the front nodes that are ready, until SIGINT or SIGTERM";
    }

    @Override
    int run(PrintStream out, PrintStream err) throws Exception {
        List<InetSocketAddress> addresses = new ArrayList<>();
        for (String node : nodes) {
            if (!node.matches("127(\\.[0-9]{1,3}){3}:[0-9]{1,5}")) {
                throw new InvalidInputException(
                        "found '" + node + "', a loopback address such as 127.0.0.1:3000 is expected");
            }
            addresses.add(new InetSocketAddress(node.split(":")[0], Integer.parseInt(node.split(":")[1])));
        }
        CountDownLatch stopRequested = new CountDownLatch(1);
        Signal.handle(new Signal("INT"), signal -> stopRequested.countDown());
        Signal.handle(new Signal("TERM"), signal -> stopRequested.countDown());
        try (SocketLoop loop = new SocketLoop("spartrail-front-layer");
                FrontLayer layer = new FrontLayer(loop, port, addresses, noticeMs)) {
            out.println("clients connect to 127.0.0.1:" + layer.port());
            stopRequested.await();
        }
        return 0;
    }
}

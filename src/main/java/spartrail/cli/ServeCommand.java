package spartrail.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Option;
import spartrail.front.FrontNode;
import spartrail.provisioning.DeploymentFile;

/** Serves clients as a front node, until it is told to end; then it drains. */
public final class ServeCommand implements Command {
    /** Held, or its level would be forgotten. */
    private Logger quiet;

    @Option(name = "--config", metaVar = "FILE", usage = "the node's configuration; else BALANCER_CONFIG names it")
    private Path config;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        String named = System.getenv("BALANCER_CONFIG");
        if (config == null && (named == null || named.isEmpty())) {
            throw new IllegalArgumentException("no configuration: give --config or BALANCER_CONFIG");
        }
        quiet = Logger.getLogger("org.xnio");
        quiet.setLevel(Level.WARNING);
        FrontNode node = new FrontNode(DeploymentFile.read(config == null ? Path.of(named) : config));
        node.start();
        CountDownLatch over = new CountDownLatch(1);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> {
            try {
                node.drain();
                node.close();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            } finally {
                over.countDown();
            }
        }, "spartrail-drain"));
        over.await();
        return 0;
    }
}

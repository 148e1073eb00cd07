package spartrail.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.kohsuke.args4j.Option;
import spartrail.config.DeploymentFile;
import spartrail.endpoint.sources.EndpointSourcesFile;
import spartrail.front.FrontNode;
import spartrail.record.MultigetRecord;
import sun.misc.Signal;
import sun.misc.SignalHandler;

/** Serves clients as a front node until SIGTERM; then it drains. */
public final class ServeCommand implements Command {
    private static final System.Logger LOG = System.getLogger("spartrail.cli");
    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";
    private static final long BYTES_PER_MB = 1024L * 1024;

    /** Referenced, or the JVM would collect the logger and its level with it. */
    private Logger xnioLogger;

    @Option(name = "--config", metaVar = "FILE", usage = "the node's configuration; else BALANCER_CONFIG names it")
    private Path config;

    @Option(name = "--members", metaVar = "FILE", usage = "servers also from the sources that this file names")
    private Path members;

    @Option(name = "--peers", metaVar = "FILE", usage = "talk to the other front nodes, as this file says")
    private Path peers;

    @Option(
            name = "--history",
            metaVar = "FILE",
            usage = "with --peers: a line for each change of what it knows of them")
    private Path history;

    @Option(
            name = "--state",
            metaVar = "FOLDER",
            usage = "with --peers: go by versions of policy, and keep there what must not be forgotten")
    private Path state;

    @Option(name = "--record", metaVar = "FILE", usage = "keep a line for each multiget taken, to replay it elsewhere")
    private Path recordFile;

    @Option(
            name = "--record-mb",
            metaVar = "N",
            usage = "the record, and the history, end at so many megabytes (default 64)")
    private int maxRecordMb = 64;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        Path path = configurationFile();
        xnioLogger = Logger.getLogger("org.xnio");
        xnioLogger.setLevel(Level.WARNING);
        CountDownLatch ended = new CountDownLatch(1);
        AtomicReference<FrontNode> startedNode = new AtomicReference<>();
        synchronized (ServeCommand.class) {
            // Before the node reports ready, as a JVM without a handler ends on a signal with all that it has in
            // flight. Both
            // handlers wait for the start.
            handleReloadSignal(startedNode, path);
            FrontNode node = createNode(path);
            MultigetRecord record = recordFile == null ? null : openRecord();
            node.setRecord(record);
            // The log opens with its first line, and of a process that ends by then nothing would ever be read.
            LOG.log(System.Logger.Level.INFO, "starting with configuration " + path);
            Runtime.getRuntime()
                    .addShutdownHook(new Thread(
                            () -> {
                                node.beginTermination();
                                drainAndClose(startedNode, record);
                                ended.countDown();
                            },
                            "spartrail-drain"));
            node.start();
            startedNode.set(node);
        }
        ended.await();
        return 0;
    }

    private Path configurationFile() {
        if (config != null) {
            return config;
        }
        String fromEnvironment = System.getenv(CONFIG_VARIABLE);
        if (fromEnvironment == null || fromEnvironment.isEmpty()) {
            throw new IllegalArgumentException("no configuration: give --config or " + CONFIG_VARIABLE);
        }
        return Path.of(fromEnvironment);
    }

    private static void handleReloadSignal(AtomicReference<FrontNode> startedNode, Path path) {
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> reloadConfiguration(startedNode, path));
        if (previous == SignalHandler.SIG_IGN) {
            // A JVM leaves a signal ignored that was so at its start, as below nohup, and is silent when one comes.
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored, as it was by whoever started this process:"
                            + " a new configuration is taken at the next start only");
        }
    }

    private FrontNode createNode(Path path) throws IOException {
        FrontNode node = new FrontNode(DeploymentFile.read(path));
        if (members != null) {
            node.setEndpointSources(EndpointSourcesFile.read(members));
        }
        if (peers != null) {
            node.enablePeers(peers, history, maxRecordMb * BYTES_PER_MB);
        }
        if (state != null) {
            node.enablePolicy(state);
        }
        return node;
    }

    /** Waits for the start, and does nothing where it failed; a SIGHUP is taken meanwhile. */
    private static void drainAndClose(AtomicReference<FrontNode> startedNode, MultigetRecord record) {
        FrontNode node;
        synchronized (ServeCommand.class) {
            node = startedNode.get();
        }
        try {
            if (node != null) {
                node.drain();
                node.close();
                if (record != null) {
                    record.close();
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private MultigetRecord openRecord() {
        if (maxRecordMb < 1) {
            throw new IllegalArgumentException("--record-mb: found " + maxRecordMb + ", 1 or more is expected");
        }
        try {
            return new MultigetRecord(recordFile, maxRecordMb * BYTES_PER_MB);
        } catch (IOException e) {
            throw new IllegalArgumentException("cannot write the record " + recordFile, e);
        }
    }

    /** One at a time and none before the start, so that of two signals the later one's reading counts. */
    private static synchronized void reloadConfiguration(AtomicReference<FrontNode> startedNode, Path path) {
        if (startedNode.get() == null) {
            return;
        }
        try {
            String waiting = startedNode.get().reload(DeploymentFile.read(path));
            if (waiting.isEmpty()) {
                LOG.log(System.Logger.Level.INFO, "configuration reloaded");
            } else {
                LOG.log(System.Logger.Level.WARNING, "configuration reloaded; its settings need a restart: " + waiting);
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "configuration rejected, the previous one stays in effect: " + e.getMessage());
        }
    }
}

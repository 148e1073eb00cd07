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

/** Runs a front node until SIGTERM, and then drains it. */
public final class ServeCommand implements Command {
    private static final System.Logger LOG = System.getLogger("spartrail.cli");
    private static final String CONFIG_VARIABLE = "BALANCER_CONFIG";
    private static final long BYTES_PER_MB = 1024L * 1024;

    /** A strong reference: without it, the JVM could collect the logger and lose its level. */
    private Logger xnioLogger;

    @Option(
            name = "--config",
            metaVar = "FILE",
            usage = "the node's configuration; by default the file that BALANCER_CONFIG names")
    private Path config;

    @Option(name = "--members", metaVar = "FILE", usage = "get servers also from the sources in this file")
    private Path members;

    @Option(
            name = "--peers",
            metaVar = "FILE",
            usage = "exchange gossip with the other front nodes, with the settings in this file")
    private Path peers;

    @Option(
            name = "--history",
            metaVar = "FILE",
            usage = "with --peers: write a line for each change in the node's view of the others")
    private Path history;

    @Option(
            name = "--state",
            metaVar = "FOLDER",
            usage = "with --peers: apply policy versions, and keep their persistent state in this folder")
    private Path state;

    @Option(name = "--record", metaVar = "FILE", usage = "write a line for each received multiget, for a later replay")
    private Path recordFile;

    @Option(
            name = "--record-mb",
            metaVar = "N",
            usage = "the size limit of the record, and of the history, in megabytes (default 64)")
    private int maxRecordMb = 64;

    @Override
    public int run(PrintStream out, PrintStream err) throws Exception {
        Path path = findConfigurationFile();
        xnioLogger = Logger.getLogger("org.xnio");
        xnioLogger.setLevel(Level.WARNING);
        CountDownLatch ended = new CountDownLatch(1);
        AtomicReference<FrontNode> startedNode = new AtomicReference<>();
        synchronized (ServeCommand.class) {
            // Both signal handlers are installed before the node reports ready, and wait for the end of the start.
            // Without a handler, a signal would end the JVM at once, and with it all requests in flight.
            handleReloadSignal(startedNode, path);
            FrontNode node = createNode(path);
            MultigetRecord record = recordFile == null ? null : openRecord();
            node.setRecord(record);
            // The log is opened by its first line. A process that begins to shut down before could not log any more.
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

    private Path findConfigurationFile() {
        if (config != null) {
            return config;
        }
        String fromEnvironment = System.getenv(CONFIG_VARIABLE);
        if (fromEnvironment == null || fromEnvironment.isEmpty()) {
            throw new IllegalArgumentException("no configuration: neither --config nor " + CONFIG_VARIABLE + " is set");
        }
        return Path.of(fromEnvironment);
    }

    private static void handleReloadSignal(AtomicReference<FrontNode> startedNode, Path path) {
        SignalHandler previous = Signal.handle(new Signal("HUP"), signal -> reloadConfiguration(startedNode, path));
        if (previous == SignalHandler.SIG_IGN) {
            // A JVM keeps ignoring a signal that was ignored when it started, as under nohup, and reports nothing.
            LOG.log(
                    System.Logger.Level.WARNING,
                    "SIGHUP is ignored, as the process that started this one ignored it;"
                            + " a changed configuration takes effect only at the next start");
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

    /** Waits for the end of the start, and does nothing if that failed. A SIGHUP is handled during the drain. */
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
            throw new IllegalArgumentException("--record: cannot write " + recordFile, e);
        }
    }

    /**
     * Reloads the configuration, one signal at a time and not before the start, so that the last signal's file counts.
     */
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

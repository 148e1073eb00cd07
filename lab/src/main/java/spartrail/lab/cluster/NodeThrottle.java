package spartrail.lab.cluster;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import spartrail.lab.experiment.NodeProcess;

/**
 * Limits node processes to a share of a core until it is closed: each runs for that share of every period and is
 * suspended for the rest. Has a thread of its own.
 */
final class NodeThrottle implements AutoCloseable {
    private static final double PERIOD_MS = 100;

    private final List<NodeProcess> nodes;
    private final Consumer<String> onFailure;
    private volatile boolean closed;

    /** Starts to throttle; a failure ends that and is reported. */
    NodeThrottle(List<NodeProcess> nodes, double share, Consumer<String> onFailure) {
        this.nodes = nodes;
        this.onFailure = onFailure;
        Thread thread = new Thread(() -> throttle(share), "spartrail-slowing");
        thread.setDaemon(true);
        thread.start();
    }

    private void throttle(double share) {
        try {
            while (!closed) {
                setSuspended(false);
                sleep(PERIOD_MS * share);
                setSuspended(true);
                sleep(PERIOD_MS * (1 - share));
            }
            setSuspended(false);
        } catch (IOException e) {
            onFailure.accept(e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void setSuspended(boolean suspended) throws IOException, InterruptedException {
        for (NodeProcess node : nodes) {
            node.stop(suspended);
        }
    }

    private static void sleep(double durationMs) throws InterruptedException {
        Thread.sleep(Math.max(1, Math.round(durationMs)));
    }

    /** Ends the limit; the nodes run on within one period. */
    @Override
    public void close() {
        closed = true;
    }
}

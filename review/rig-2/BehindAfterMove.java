import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The list of discovery runs behind while a new configuration moves the front node to another address of discovery, and
 * an index server drains and ends.
 */
public final class BehindAfterMove {
    private static final double GRACE_MS = 500;
    /** How far the list runs further behind. */
    private static final double BEHIND_MS = 5000;
    /** The server that drains ends after this time. */
    private static final double DRAIN_MS = 4000;

    private BehindAfterMove() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), BehindAfterMove::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        Deployment deployment = new Deployment(folder, record);
        deployment.settings.classes = Settings.opType("orders", "single_shot", 1.5, 3.0, 3.0);
        deployment.servers.forEach(server -> server.workMs = 150);
        Agent first = deployment.agent;
        Agent second = new Agent("discovery-2", record);
        for (int i = 0; i < 4; i++) {
            second.put(deployment.entry(i, "SERVING"));
        }
        LateParts late = new LateParts(deployment.servers.get(1), GRACE_MS);
        deployment.start();
        Node node = deployment.node;
        AtomicInteger failed = new AtomicInteger();
        Traffic.Check check = (id, text, reply) -> failed.addAndGet(reply.status() == 500 ? 1 : 0);
        Traffic traffic = new Traffic(record, node, 12, Record.nowMs() + 14_000, 50, check, 0, 1);
        Rig.sleep(3000);

        // The watch that is open is answered at once: half a second later the drain has been told for certain.
        double drainMs = Record.nowMs();
        first.put(deployment.entry(1, "DRAINING"));
        Rig.sleep(500);
        late.told(Record.nowMs());
        if (!Rig.TROUBLE) {
            second.put(deployment.entry(1, "DRAINING"));
        }

        // A new configuration names another address; the old one takes no connection, and closes after 1.5 s.
        Rig.sleep(1000);
        node.configure(second.port(), 192, first.listJson(true, 0), deployment.settings.toJson());
        node.signal("HUP");
        first.closeListener();
        Rig.sleep(1500);
        first.close();

        // The server ends: it has had the time to complete what it held when it began to drain.
        Rig.sleep(drainMs + DRAIN_MS - Record.nowMs());
        int failedBefore = failed.get();
        deployment.servers.get(1).die();
        if (!Rig.TROUBLE) {
            second.put(deployment.entry(1, "DELETED"));
        }

        // The list that runs behind has the drain now, and the end later.
        Rig.sleep(drainMs + BEHIND_MS - Record.nowMs());
        int failedByEnd = failed.get() - failedBefore;
        if (Rig.TROUBLE) {
            second.put(deployment.entry(1, "DRAINING"));
            Rig.sleep(drainMs + DRAIN_MS + BEHIND_MS - Record.nowMs());
            second.put(deployment.entry(1, "DELETED"));
        }
        boolean couldRun = traffic.endAndReport(record);
        record.say("%d multigets that must not run twice failed within a second of the server's end", failedByEnd);
        return late.report(record, couldRun);
    }
}

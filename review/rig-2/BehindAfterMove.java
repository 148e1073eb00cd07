import java.nio.file.Path;

/** The list of discovery runs behind while a new configuration moves the front node to another address of discovery. */
public final class BehindAfterMove {
    private static final double GRACE_MS = 500;
    /** How far the list runs further behind. */
    private static final double BEHIND_MS = 5000;

    private BehindAfterMove() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), BehindAfterMove::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        Deployment deployment = new Deployment(folder, record);
        Agent first = deployment.agent;
        Agent second = new Agent("discovery-2", record);
        for (int i = 0; i < 4; i++) {
            second.put(deployment.entry(i, "SERVING"));
        }
        LateParts late = new LateParts(deployment.servers.get(1), GRACE_MS);
        deployment.start();
        Node node = deployment.node;
        Traffic traffic = new Traffic(record, node, 4, Record.nowMs() + 14_000, 150, (id, text, reply) -> {}, 0, 1);
        Rig.sleep(3000);

        // The watch that is open is answered at once: half a second later the drain has been told for certain.
        deployment.beginDrain(1);
        double drainMs = Record.nowMs();
        first.put(deployment.entry(1, "DRAINING"));
        Rig.sleep(500);
        late.told(Record.nowMs());
        if (!Rig.TROUBLE) {
            second.put(deployment.entry(1, "DRAINING"));
        }

        // A new configuration names another address; the old one takes no connection, and closes after 1.5 s.
        Rig.sleep(1500);
        node.configure(second.port(), 192, first.listJson(true, 0), deployment.settings.toJson());
        node.signal("HUP");
        first.closeListener();
        Rig.sleep(1500);
        first.close();

        // The list that runs behind has the drain now.
        Rig.sleep(drainMs + BEHIND_MS - Record.nowMs());
        if (Rig.TROUBLE) {
            second.put(deployment.entry(1, "DRAINING"));
        }
        return late.report(record, traffic.endAndReport(record));
    }
}

import java.nio.file.Path;

/** Discovery is slow: each call is answered a second late, while an index server begins to drain. */
public final class SlowDiscovery {
    private static final double GRACE_MS = 500;
    /** A change counts as told at the latest so long after discovery had it. */
    private static final double TOLD_MS = 6000;
    /** Half of the time after which a call to discovery fails. */
    private static final long DELAY_MS = 1000;

    private SlowDiscovery() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), SlowDiscovery::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        Deployment deployment = new Deployment(folder, record);
        LateParts late = new LateParts(deployment.servers.get(1), GRACE_MS);
        deployment.start();
        Traffic traffic =
                new Traffic(record, deployment.node, 4, Record.nowMs() + 30_000, 150, (id, text, reply) -> {}, 0, 1);
        Rig.sleep(3000);
        if (Rig.TROUBLE) {
            deployment.agent.setAnswerDelay(DELAY_MS);
        }
        Rig.sleep(7000);
        deployment.beginDrain(1);
        deployment.agent.put(deployment.entry(1, "DRAINING"));
        late.told(Record.nowMs() + TOLD_MS);
        return late.report(record, traffic.endAndReport(record));
    }
}

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.atomic.AtomicInteger;

/** The three holders of one shard hang; the other parts of all multigets are answered meanwhile, with large values. */
public final class HeldAnswers {
    private static final int MEMORY_MB = 80;
    /** With this value, the body of an answer to a client stays below 64 KiB. */
    private static final int VALUE_BYTES = 58_000;
    private static final double PER_S = 110;
    private static final double HANG_MS = 6500;
    private static final int SERVERS = 18;
    private static final int SHARDS = 6;

    private HeldAnswers() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), HeldAnswers::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        ScheduledThreadPoolExecutor workers = new ScheduledThreadPoolExecutor(4);
        Agent agent = new Agent("discovery", record);
        double[] hangUntilMs = {0};
        String large = "x".repeat(VALUE_BYTES);
        for (int i = 0; i < SERVERS; i++) {
            boolean hangs = i < SERVERS / SHARDS;
            IndexServer server = new IndexServer("s-" + i, record, workers, 15) {
                @Override
                String value(Arrived part) {
                    return hangs ? "small" : large;
                }
            };
            server.logging = false;
            server.plan = part -> {
                if (!hangs || Record.nowMs() >= hangUntilMs[0]) {
                    server.serveAfter(part, server.workMs);
                }
            };
            agent.put(new Entry("s-" + i, server.port(), "a", i / (SERVERS / SHARDS), "SERVING", 0));
        }
        Settings settings = new Settings();
        settings.slabs = SHARDS;
        settings.sets = SHARDS;
        settings.openCap = 900;
        settings.classes = Settings.opType("orders", "free", 3.0, 7.5, 5.0);
        Node node = new Node("n0", folder, record);
        node.configure(agent.port(), MEMORY_MB, agent.listJson(true, 0), settings.toJson());
        node.start();

        Map<Integer, Integer> byStatus = new TreeMap<>();
        AtomicInteger next = new AtomicInteger();
        double fromMs = Record.nowMs();
        double endMs = fromMs + 20_000;
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 330; i++) {
            clients.add(Rig.thread("client-" + i, () -> {
                while (node.isAlive()) {
                    // A connection for one request only, so that none holds on to an answer that was given.
                    try (Client client = new Client(node.port)) {
                        int k = next.getAndIncrement();
                        double dueMs = fromMs + k * 1000 / PER_S;
                        if (dueMs >= endMs) {
                            return;
                        }
                        Rig.sleep(dueMs - Record.nowMs());
                        String id = String.format("%016x", k + 1);
                        Client.Reply reply = client.ask(id, "orders", 7.5, "c41e77d0", 0, 1 + k % (SHARDS - 1));
                        record.add("client: %s got %d after %.0f ms", id, reply.status(), reply.tookMs());
                        synchronized (byStatus) {
                            byStatus.merge(reply.status(), 1, Integer::sum);
                        }
                    }
                }
            }));
        }
        Rig.sleep(5000);
        if (Rig.TROUBLE) {
            hangUntilMs[0] = Record.nowMs() + HANG_MS;
            record.add("s-0, s-1 and s-2 take parts and answer none for %.0f ms", HANG_MS);
        }
        for (Thread client : clients) {
            client.join();
        }
        record.say("answers by status: %s", byStatus);
        if (node.isAlive()) {
            return Rig.HELD;
        }
        String log = node.log();
        String last = log.substring(log.lastIndexOf('\n', log.length() - 2) + 1).trim();
        record.say("the front node has ended with status %d: %s", node.exitCode(), last);
        return Rig.BROKEN;
    }
}

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Usual clients, each with a connection of its own, that send one multiget after another until an end. */
final class Traffic {
    /** Checks an answer; called for each one. */
    interface Check {
        void onReply(String id, String text, Client.Reply reply);
    }

    private final List<Thread> clients = new ArrayList<>();
    private final Map<Integer, Integer> byStatus = new TreeMap<>();

    /** Starts the clients; each waits for so long between an answer and its next multiget, for these shards. */
    Traffic(Record record, Node node, int count, double untilMs, double waitMs, Check check, int... shards) {
        for (int i = 0; i < count; i++) {
            int number = i + 1;
            clients.add(Rig.thread("client-" + number, () -> {
                try (Client client = new Client(node.port)) {
                    for (int k = 0; Record.nowMs() < untilMs && node.isAlive(); k++) {
                        String id = String.format("%08x%08x", number, k);
                        String text = String.format("%08x", 31 * number + k);
                        Client.Reply reply = client.ask(id, "orders", 3.0, text, shards);
                        record.add("client: %s got %d after %.0f ms", id, reply.status(), reply.tookMs());
                        synchronized (byStatus) {
                            byStatus.merge(reply.status(), 1, Integer::sum);
                        }
                        check.onReply(id, text, reply);
                        Rig.sleep(waitMs);
                    }
                }
            }));
        }
    }

    /** Waits for the end, reports, and tells whether at least half of the multigets were served. */
    boolean endAndReport(Record record) throws InterruptedException {
        for (Thread client : clients) {
            client.join();
        }
        int all = byStatus.values().stream().mapToInt(count -> count).sum();
        record.say("answers of usual clients by status: %s", byStatus);
        return 2 * byStatus.getOrDefault(200, 0) >= all && all > 0;
    }
}

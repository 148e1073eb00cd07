import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ScheduledThreadPoolExecutor;

/** A small deployment: four index servers, two for each of two shards, an agent of discovery and one front node. */
final class Deployment {
    final ScheduledThreadPoolExecutor workers = new ScheduledThreadPoolExecutor(4);
    final Agent agent;
    final List<IndexServer> servers = new ArrayList<>();
    final Settings settings = new Settings();
    final Node node;

    Deployment(Path folder, Record record) throws IOException {
        agent = new Agent("discovery", record);
        for (int i = 0; i < 4; i++) {
            servers.add(new IndexServer("s-" + i, record, workers, 20));
            agent.put(entry(i, "SERVING"));
        }
        node = new Node("n0", folder, record);
    }

    Entry entry(int number, String state) {
        return new Entry("s-" + number, servers.get(number).port(), "a", number / 2, state, 0);
    }

    void start() throws IOException, InterruptedException {
        node.configure(agent.port(), 192, agent.listJson(true, 0), settings.toJson());
        node.start();
    }
}

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;

/** Bad clients send hundreds of requests at once and go, again and again. */
public final class LeavingClients {
    private static final int USUAL_CLIENTS = 8;
    private static final int BAD_CLIENTS = 2;
    private static final int REQUESTS_AT_ONCE = 400;
    /** How long a usual client waits. */
    private static final double DEADLINE_S = 0.48;
    /** An answer is lost if it comes later than this after its time: half a second, and the 50 ms of sockets. */
    private static final double LOST_AFTER_MS = 550;

    private LeavingClients() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), LeavingClients::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        Deployment deployment = new Deployment(folder, record);
        for (IndexServer server : deployment.servers) {
            server.logging = false;
            server.workMs = 10;
        }
        deployment.start();
        Node node = deployment.node;
        double endMs = Record.nowMs() + 15_000;
        Map<Integer, Integer> byStatus = new TreeMap<>();
        AtomicInteger lost = new AtomicInteger();
        AtomicInteger floods = new AtomicInteger();
        double[] longestMs = {0};
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i + 1;
            clients.add(Rig.thread("client-" + number, () -> {
                try (Client client = new Client(node.port)) {
                    for (int k = 0; Record.nowMs() < endMs; k++) {
                        String id = String.format("%08x%08x", number, k);
                        Client.Reply reply = client.ask(id, "orders", DEADLINE_S, "c41e77d0", k % 2);
                        boolean isLost = reply.status() <= 0 || reply.tookMs() > 1000 * DEADLINE_S + LOST_AFTER_MS;
                        String mark = isLost ? ", lost" : "";
                        record.add("client: %s got %d after %.0f ms%s", id, reply.status(), reply.tookMs(), mark);
                        lost.addAndGet(isLost ? 1 : 0);
                        synchronized (byStatus) {
                            byStatus.merge(reply.status(), 1, Integer::sum);
                            longestMs[0] = Math.max(longestMs[0], reply.tookMs());
                        }
                        Rig.sleep(30);
                    }
                }
            }));
        }
        Rig.sleep(3000);
        if (Rig.TROUBLE) {
            record.add("%d bad clients send %d requests at once and go, from now on", BAD_CLIENTS, REQUESTS_AT_ONCE);
            for (int i = 0; i < BAD_CLIENTS; i++) {
                int number = i;
                Rig.thread("bad-" + number, () -> {
                    for (int round = 0; Record.nowMs() < endMs - 2000; round++) {
                        sendAndGo(node.port, "bad" + number + "x" + round + "x");
                        floods.incrementAndGet();
                    }
                });
            }
        }
        for (Thread client : clients) {
            client.join();
        }
        int sent = byStatus.values().stream().mapToInt(count -> count).sum();
        record.say("bad clients came %d times", floods.get());
        record.say("answers of usual clients by status (-1: none): %s, longest %.0f ms", byStatus, longestMs[0]);
        record.say("%d of %d came over %.0f ms after their time, or never", lost.get(), sent, LOST_AFTER_MS);
        if (!node.isAlive() || 2 * byStatus.getOrDefault(200, 0) < sent) {
            return Rig.COULD_NOT_RUN;
        }
        return lost.get() == 0 ? Rig.HELD : Rig.BROKEN;
    }

    private static void sendAndGo(int port, String ids) {
        String body = "{\"segments\":[{\"segment\":0,\"boost\":1}],\"text\":\"abc\"}";
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < REQUESTS_AT_ONCE; i++) {
            requests.append(String.format(
                    Locale.ROOT,
                    "POST /orders/k HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s%d\r\nReq-Kind: orders\r\n"
                            + "Req-Deadline: 3.000\r\nContent-Length: %d\r\n\r\n%s",
                    ids, i, body.length(), body));
        }
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.getOutputStream().write(requests.toString().getBytes(StandardCharsets.US_ASCII));
        } catch (IOException e) {
            Rig.sleep(1);
        }
    }
}

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients stop in the middle of a request and stay; the front node must go on and answer its usual clients. */
final class Case1 {
    private static final int BAD_CLIENTS = 340;
    private static final int ROUNDS = 3;
    /** A body may have 64 KiB. */
    private static final int BODY_BYTES = 65_536;

    private static final int SENT_TEXT_BYTES = 65_000;

    private static final int USUAL_CLIENTS = 8;
    private static final double DEADLINE_S = 4.0;
    private static final double LENGTH_MS = 20_000;

    private static volatile boolean stopped;

    public static void main(String[] args) throws Exception {
        Verdict.of("review/1", Case1::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        for (int i = 0; i < 12; i++) {
            rig.addServer("s-" + i, i % 4).workMs = 40;
        }
        Config config = new Config();
        config.memoryMb = 192;
        config.sockets = 1024;
        int port = Rig.freePort();
        Rig.Node node = new Rig.Node(rig, "n0", port, config.json(rig, port));
        Verdict.require(node.awaitReady(30_000), "the front node is not ready");
        AtomicInteger answered = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        for (int i = 0; i < USUAL_CLIENTS; i++) {
            int number = i;
            Rig.start(() -> usualClient(rig, port, number, answered, unanswered));
        }
        Rig.sleep(2000);
        Verdict.require(answered.get() > 0 && unanswered.get() == 0, "the front node does not serve");
        rig.log("usual clients: " + answered + " answered, " + unanswered + " not");
        if (trouble) {
            flood(rig, port);
        }
        double endMs = rig.nowMs() + LENGTH_MS;
        while (rig.nowMs() < endMs && node.process.isAlive()) {
            Rig.sleep(50);
        }
        boolean alive = node.process.isAlive();
        rig.log(alive ? "the front node runs" : "the front node has ended by itself, status " + node.process.exitValue());
        if (!alive) {
            Rig.sleep(500);
        }
        stopped = true;
        rig.log("usual clients: " + answered + " answered, " + unanswered + " not");
        List<String> log = Files.readAllLines(node.log);
        log.stream()
                .filter(line -> line.contains("OutOfMemory") || line.contains("WARN") || line.contains("ERROR"))
                .limit(10)
                .forEach(line -> rig.log("its log: " + line));
        return alive && unanswered.get() == 0;
    }

    private static void usualClient(
            Rig rig, int port, int number, AtomicInteger answered, AtomicInteger unanswered) {
        while (!stopped) {
            try (Rig.Client client = new Rig.Client(port)) {
                boolean open = true;
                while (!stopped && open) {
                    String id = Rig.newId();
                    double sentMs = rig.nowMs();
                    client.send(Rig.request(id, "orders", DEADLINE_S, Rig.body("c41e77d0", 0, 1, 2)));
                    // Half a second after its time, an answer only earns nothing; later it is lost.
                    Rig.Answer answer = client.receive(1000 * DEADLINE_S + 550);
                    if (stopped) {
                        return;
                    }
                    if (answer.status() > 0) {
                        answered.incrementAndGet();
                        if (rig.nowMs() - sentMs > 500) {
                            rig.log(String.format("usual client %d: %s answered %d after %.0f ms", number, id,
                                    answer.status(), rig.nowMs() - sentMs));
                        }
                    } else {
                        unanswered.incrementAndGet();
                        rig.log(String.format("usual client %d: %s %s %.0f ms after it was sent", number, id,
                                answer.status() == 0 ? "its connection ended without an answer" : "no answer",
                                rig.nowMs() - sentMs));
                        open = false;
                    }
                    Rig.sleep(100);
                }
            } catch (IOException e) {
                Rig.sleep(100);
            }
        }
    }

    /**
     * Each bad client opens a connection, sends half a request and stays, until it gets its error or close; then it does
     * the same again, a few times.
     */
    private static void flood(Rig rig, int port) throws InterruptedException {
        byte[] half = (("POST /orders/k1 HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + Rig.newId()
                                + "\r\nReq-Kind: orders\r\nReq-Deadline: 4.000\r\nTransfer-Encoding: chunked\r\n\r\n"
                                + Integer.toHexString(BODY_BYTES) + "\r\n{\"segments\":[{\"segment\":0,\"boost\":1.0}],\"text\":\"")
                        + "x".repeat(SENT_TEXT_BYTES))
                .getBytes(StandardCharsets.US_ASCII);
        rig.log(BAD_CLIENTS + " clients send half a request each and stay: the chunk is to have " + BODY_BYTES
                + " bytes, some 500 of them are missing");
        CountDownLatch connected = new CountDownLatch(BAD_CLIENTS);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            Rig.start(() -> {
                for (int round = 0; round < ROUNDS && !stopped; round++) {
                    try (Rig.Client client = new Rig.Client(port)) {
                        connected.countDown();
                        connected.await();
                        client.send(half);
                        client.receive(5000);
                    } catch (IOException e) {
                        connected.countDown();
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            });
        }
        connected.await();
        rig.log("all of them are connected and send");
    }
}

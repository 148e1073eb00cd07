import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.file.Files;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

/** Some clients send hundreds of requests at once; the front node must go on and answer its usual clients. */
final class Case1 {
    private static final int BAD_CLIENTS = 300;
    private static final int REQUESTS_AT_ONCE = 8;
    /** With the rest of the body it stays below the 64 KiB that a body may have. */
    private static final int TEXT_BYTES = 64_000;

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
        config.memoryMb = 96;
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

    /** Each bad client opens a connection and sends its requests at once, at full speed, and reads what it gets. */
    private static void flood(Rig rig, int port) throws InterruptedException {
        byte[][] requests = new byte[BAD_CLIENTS][];
        String text = "x".repeat(TEXT_BYTES);
        for (int i = 0; i < BAD_CLIENTS; i++) {
            ByteArrayOutputStream bytes = new ByteArrayOutputStream();
            for (int j = 0; j < REQUESTS_AT_ONCE; j++) {
                bytes.writeBytes(Rig.request(Rig.newId(), "orders", DEADLINE_S, Rig.body(text, (i + j) % 4)));
            }
            requests[i] = bytes.toByteArray();
        }
        rig.log(BAD_CLIENTS + " clients send " + REQUESTS_AT_ONCE + " requests at once each, bodies of "
                + Rig.body(text, 0).length() + " bytes");
        CountDownLatch connected = new CountDownLatch(BAD_CLIENTS);
        for (byte[] bytes : requests) {
            Rig.start(() -> {
                try (Rig.Client client = new Rig.Client(port)) {
                    connected.countDown();
                    connected.await();
                    Rig.start(() -> {
                        try {
                            client.send(bytes);
                        } catch (IOException e) {
                            // The front node has closed the connection, as it may.
                        }
                    });
                    int answers = 0;
                    while (answers < REQUESTS_AT_ONCE && client.receive(10_000).status() > 0) {
                        answers++;
                    }
                } catch (IOException e) {
                    connected.countDown();
                } catch (InterruptedException e) {
                    Thread.currentThread().interrupt();
                }
            });
        }
        connected.await();
        rig.log("all of them are connected and send");
    }
}

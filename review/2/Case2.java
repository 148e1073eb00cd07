import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Bad clients send the id of another client's open request, and the same again as soon as they are turned away. No client
 * may be served a value that was made for another one's request.
 */
final class Case2 {
    private static final int SERVERS = 12;
    private static final int SLICES = 36;
    private static final int CLIENTS = 6;
    private static final double DEADLINE_S = 4.0;
    private static final double LENGTH_MS = 30_000;

    /** A client that is turned away sends the same again at most so often, to bound the loop. */
    private static final int MAX_TRIES = 2000;

    private static volatile boolean stopped;

    public static void main(String[] args) throws Exception {
        Verdict.of("review/2", Case2::run);
    }

    /** Stands still for 62 to 300 ms every 4.2 to 9.3 s, at times of its own; its running work waits meanwhile. */
    private static final class Standstills {
        private final Random random;
        private final List<double[]> intervals = new ArrayList<>();
        private double nextMs;

        Standstills(long seed) {
            random = new Random(seed);
            nextMs = 3000 + random.nextDouble() * 5000;
        }

        /** The time at which work that begins at this time and takes so long ends. */
        synchronized double endMs(double fromMs, double workMs) {
            while (nextMs < fromMs + 20_000) {
                double lastsMs = 62 + random.nextDouble() * 238;
                intervals.add(new double[] {nextMs, nextMs + lastsMs});
                nextMs += lastsMs + 4200 + random.nextDouble() * 5100;
            }
            double endMs = fromMs + workMs;
            for (double[] interval : intervals) {
                if (interval[0] < endMs && interval[1] > fromMs) {
                    endMs += interval[1] - Math.max(fromMs, interval[0]);
                }
            }
            return endMs;
        }
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        for (int i = 0; i < SERVERS; i++) {
            Rig.IndexServer server = rig.addServer("s-" + i, i);
            Standstills standstills = new Standstills(i);
            Random random = new Random(100 + i);
            server.handler = part -> {
                double nowMs = rig.nowMs();
                double workMs = 120 + random.nextDouble() * 50;
                double endMs = standstills.endMs(nowMs, workMs);
                // A cancel does not stop running work.
                rig.timers.schedule(
                        () -> {
                            if (part.cancelled) {
                                rig.log(server.id + " ends " + part.id + " for the text " + new String(part.text)
                                        + ", which was cancelled while it ran: " + part.value());
                            }
                            part.answer();
                        },
                        Math.round(1000 * (endMs - nowMs)),
                        TimeUnit.MICROSECONDS);
            };
        }
        int port = Rig.freePort();
        Config config = new Config();
        config.kind = "quote";
        config.shards = SLICES;
        config.cells = SERVERS;
        config.width = 3;
        config.lateShare = 0;
        Rig.Node node = new Rig.Node(rig, "n0", port, config.json(rig, port));
        Verdict.require(node.awaitReady(30_000), "the front node is not ready");
        AtomicInteger[] counts = new AtomicInteger[4];
        for (int i = 0; i < counts.length; i++) {
            counts[i] = new AtomicInteger();
        }
        for (int i = 0; i < CLIENTS; i++) {
            int number = i;
            Rig.start(() -> usualClient(rig, port, number, trouble, counts));
        }
        Rig.sleep(LENGTH_MS);
        stopped = true;
        rig.log("usual clients: " + counts[0] + " requests served, " + counts[1] + " of them with a foreign value");
        rig.log("bad clients: " + counts[2] + " requests served, " + counts[3] + " of them with a foreign value");
        Verdict.require(counts[0].get() > 0 && node.process.isAlive(), "the front node does not serve");
        return counts[1].get() + counts[3].get() == 0;
    }

    private static void usualClient(Rig rig, int port, int number, boolean trouble, AtomicInteger[] counts) {
        Random random = new Random(number);
        try (Rig.Client client = new Rig.Client(port);
                Rig.Client bad = new Rig.Client(port)) {
            while (!stopped) {
                int slice = random.nextInt(SLICES);
                int[] slices = {slice, (slice + 1) % SLICES, (slice + 2) % SLICES, (slice + 3) % SLICES};
                String id = Rig.newId();
                String text = "policy" + number;
                client.send(Rig.request(id, "quote", DEADLINE_S, Rig.body(text, slices)));
                CountDownLatch ended = new CountDownLatch(trouble ? 1 : 0);
                if (trouble) {
                    Rig.start(() -> {
                        badClient(rig, bad, id, "other" + number, slices, counts);
                        ended.countDown();
                    });
                }
                Rig.Answer answer = client.receive(1000 * DEADLINE_S + 550);
                if (answer.status() == 200) {
                    counts[0].incrementAndGet();
                    if (isForeign(rig, "usual", id, text, answer)) {
                        counts[1].incrementAndGet();
                    }
                }
                ended.await(10, TimeUnit.SECONDS);
                Rig.sleep(100);
            }
        } catch (IOException | InterruptedException e) {
            rig.log("a connection ended: " + e);
        }
    }

    /** Sends the id of an open request with a text of its own, and the same again as soon as it is turned away. */
    private static void badClient(
            Rig rig, Rig.Client client, String id, String text, int[] slices, AtomicInteger[] counts) {
        try {
            for (int i = 0; i < MAX_TRIES && !stopped; i++) {
                client.send(Rig.request(id, "quote", DEADLINE_S, Rig.body(text, slices)));
                Rig.Answer answer = client.receive(1000 * DEADLINE_S + 550);
                if (answer.status() == 200) {
                    counts[2].incrementAndGet();
                    if (isForeign(rig, "bad", id, text, answer)) {
                        counts[3].incrementAndGet();
                    }
                }
                if (answer.status() == 200 || answer.status() <= 0) {
                    return;
                }
            }
        } catch (IOException e) {
            rig.log("a bad client's connection ended: " + e);
        }
    }

    private static boolean isForeign(Rig rig, String client, String id, String text, Rig.Answer answer) {
        boolean foreign = false;
        for (Map.Entry<Integer, String> value : answer.values().entrySet()) {
            String made = Rig.value(id + "." + value.getKey(), value.getKey(), text.getBytes());
            if (!made.equals(value.getValue())) {
                foreign = true;
                rig.log("the " + client + " client with " + id + " and the text " + text + " is served "
                        + value.getValue() + " for slice " + value.getKey() + "; the value made for it is " + made);
            }
        }
        return foreign;
    }
}

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A client sends many requests at once on its connection; each must get its final answer in the client's time. */
final class Case3 {
    private static final int REQUESTS = 40;
    /** Another client sends so many requests at once, with bodies of less than half of the 64 KiB that one may have. */
    private static final int LONG_REQUESTS = 4;

    private static final int LONG_TEXT_BYTES = 30_000;
    /** The work of a part: an order-batch part takes 110 to 150 ms. */
    private static final double WORK_MS = 130;

    private static final double DEADLINE_S = 4.0;
    /** Up to half a second after its time an answer only earns nothing; sockets allow 50 ms more. */
    private static final double LOST_AFTER_MS = 550;

    public static void main(String[] args) throws Exception {
        Verdict.of("review/3", Case3::run);
    }

    private static boolean run(Rig rig, boolean trouble) throws Exception {
        ConcurrentMap<String, Double> sentMs = new ConcurrentHashMap<>();
        AtomicInteger overtold = new AtomicInteger();
        for (int i = 0; i < 12; i++) {
            Rig.IndexServer server = rig.addServer("s-" + i, i % 4);
            server.handler = part -> {
                String id = part.id.substring(0, part.id.indexOf('.'));
                double leftMs = sentMs.get(id) + 1000 * DEADLINE_S - rig.nowMs();
                if (part.waitMs > leftMs + 150) {
                    overtold.incrementAndGet();
                    rig.log(String.format("%s gets part %s with d=%.0f, its client waits for %.0f ms more", server.id,
                            part.id, part.waitMs, leftMs));
                }
                rig.timers.schedule((Runnable) part::answer, Math.round(WORK_MS), TimeUnit.MILLISECONDS);
            };
        }
        int port = Rig.freePort();
        Rig.Node node = new Rig.Node(rig, "n0", port, new Config().json(rig, port));
        Verdict.require(node.awaitReady(30_000), "the front node is not ready");
        List<String> ids = new ArrayList<>();
        List<byte[]> requests = new ArrayList<>();
        for (int i = 0; i < REQUESTS + LONG_REQUESTS; i++) {
            String id = Rig.newId();
            String text = i < REQUESTS ? "c41e77d0" : "x".repeat(LONG_TEXT_BYTES);
            ids.add(id);
            requests.add(Rig.request(id, "orders", DEADLINE_S, Rig.body(text, i % 4, (i + 1) % 4)));
        }
        AtomicInteger inTime = new AtomicInteger();
        if (trouble) {
            sendAtOnce(rig, port, ids.subList(0, REQUESTS), requests.subList(0, REQUESTS), sentMs, inTime);
            sendAtOnce(
                    rig, port, ids.subList(REQUESTS, ids.size()), requests.subList(REQUESTS, ids.size()), sentMs, inTime);
        } else {
            sendOnOwnConnections(rig, port, ids, requests, sentMs, inTime);
        }
        rig.log(inTime + " of " + ids.size() + " requests were answered in time; " + overtold
                + " parts told their index server more time than was left");
        Verdict.require(node.process.isAlive(), "the front node has ended");
        return inTime.get() == ids.size();
    }

    private static void sendAtOnce(
            Rig rig,
            int port,
            List<String> ids,
            List<byte[]> requests,
            ConcurrentMap<String, Double> sentMs,
            AtomicInteger inTime)
            throws Exception {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        requests.forEach(bytes::writeBytes);
        try (Rig.Client client = new Rig.Client(port)) {
            double nowMs = rig.nowMs();
            ids.forEach(id -> sentMs.put(id, nowMs));
            client.send(bytes.toByteArray());
            rig.log("a client has sent " + ids.size() + " requests at once, " + bytes.size() + " bytes");
            Rig.Answer answer = new Rig.Answer(200, "", "");
            for (int i = 0; i < ids.size() && answer.status() > 0; i++) {
                answer = client.receive(10_000);
                record(rig, ids.get(i), answer, sentMs.get(ids.get(i)), inTime);
            }
        }
    }

    private static void sendOnOwnConnections(
            Rig rig,
            int port,
            List<String> ids,
            List<byte[]> requests,
            ConcurrentMap<String, Double> sentMs,
            AtomicInteger inTime)
            throws Exception {
        CountDownLatch ended = new CountDownLatch(ids.size());
        for (int i = 0; i < ids.size(); i++) {
            int number = i;
            Rig.start(() -> {
                try (Rig.Client client = new Rig.Client(port)) {
                    sentMs.put(ids.get(number), rig.nowMs());
                    client.send(requests.get(number));
                    record(rig, ids.get(number), client.receive(10_000), sentMs.get(ids.get(number)), inTime);
                } catch (Exception e) {
                    rig.log("no connection: " + e);
                } finally {
                    ended.countDown();
                }
            });
        }
        ended.await(30, TimeUnit.SECONDS);
    }

    private static void record(Rig rig, String id, Rig.Answer answer, double sentMs, AtomicInteger inTime) {
        double tookMs = rig.nowMs() - sentMs;
        boolean isInTime = answer.status() > 0 && tookMs <= 1000 * DEADLINE_S + LOST_AFTER_MS;
        rig.log(String.format("%s: %s after %.0f ms%s", id,
                answer.status() > 0 ? "answered " + answer.status() : answer.status() == 0 ? "connection ended" : "no answer",
                tookMs, isInTime ? "" : ", lost: its time was " + Math.round(1000 * DEADLINE_S) + " ms"));
        if (isInTime) {
            inTime.incrementAndGet();
        }
    }
}

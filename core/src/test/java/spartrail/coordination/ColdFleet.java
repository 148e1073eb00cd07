package spartrail.coordination;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import spartrail.model.Attempt;
import spartrail.model.Decisions;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Server;

/**
 * Many front nodes' decisions on one shard, one of whose servers starts cold, and what all of them send it together. The
 * decisions are those of real coordinators; servers answer after their service time, longer by their age while cold.
 */
final class ColdFleet {
    static final double SHARE = 0.05;
    static final double WARM_MS = 17_000;
    static final double TIP = 1.5;
    static final double FALL_MS = 2000;
    private static final double TURN_MS = 5;
    private static final double BORN_MS = 20_000;

    /** A front node: how many nodes it is told of, its share of the queries, and how many of the replicas its list names. */
    record Node(int told, double partsPerMs, int replicas) {}

    private record Event(double atMs, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs == other.atMs ? Long.compare(number, other.number) : Double.compare(atMs, other.atMs);
        }
    }

    private final class HollowNode {
        final WindowCoordinator coordinator;
        final OpType opType = new Script().opType;
        final double partsPerMs;
        long wakes;

        HollowNode(Node node, int cells) {
            opType.latency.meanLatencyMs = serviceMs;
            opType.latency.unloadedLatencyMs = serviceMs;
            opType.latency.latencyDeviationMs = serviceMs / 5;
            coordinator = new WindowCoordinator(new Random(random.nextLong()), List.of(opType));
            coordinator
                    .frontNodes(node.told, TURN_MS)
                    .layout(1, cells, cells, 1)
                    .attempts(4, true, true)
                    .slowStart(SHARE, WARM_MS, TIP, FALL_MS)
                    .retryAfter(true, 1000);
            List<Server> lines = new ArrayList<>();
            for (int replica = 0; replica < node.replicas; replica++) {
                lines.add(Script.line("s" + replica, replica % cells, Server.State.LIVE, -1));
            }
            partsPerMs = node.partsPerMs;
            carryOut(coordinator.onEndpointUpdate(lines, true, true, nowMs));
            at(nowMs - Math.log(1 - random.nextDouble()) / partsPerMs, this::ask);
            at(
                    BORN_MS,
                    () -> carryOut(coordinator.onEndpointUpdate(
                            List.of(Script.line("s0", 0, Server.State.LIVE, BORN_MS)), false, true, nowMs)));
        }

        private void ask() {
            Multiget mg = new Multiget();
            mg.id = random.nextLong();
            mg.opType = opType;
            mg.clientTimeLeftMs = 2000;
            mg.arrivedMs = nowMs;
            Part part = new Part();
            part.multiget = mg;
            part.shard = coordinator.shard(0);
            part.weight = 1;
            mg.parts.add(part);
            carryOut(coordinator.place(mg, nowMs));
            at(nowMs - Math.log(1 - random.nextDouble()) / partsPerMs, this::ask);
        }

        private void carryOut(Decisions decisions) {
            for (Attempt send : decisions.attempts) {
                boolean cold = send.server.id.equals("s0") && nowMs >= BORN_MS;
                if (cold) {
                    sent(nowMs);
                }
                double tookMs = serviceMs / (cold ? warmth(nowMs) : 1);
                at(
                        nowMs + tookMs,
                        () -> carryOut(coordinator.onOutcome(send, Attempt.Outcome.ANSWERED, tookMs, nowMs)));
            }
            long wake = ++wakes;
            at(nowMs + Math.max(0.01, coordinator.timeToNextTimerMs(nowMs)), () -> {
                if (wake == wakes) {
                    carryOut(coordinator.onTimer(nowMs));
                }
            });
        }
    }

    private final Random random;
    private final double serviceMs;
    private final int cores;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Deque<Double> window = new ArrayDeque<>();
    private double nowMs;
    private long number;
    private double worst;

    ColdFleet(long seed, double serviceMs, int cores) {
        this.random = new Random(seed);
        this.serviceMs = serviceMs;
        this.cores = cores;
    }

    private void at(double ms, Runnable what) {
        events.add(new Event(ms, number++, what));
    }

    private static double warmth(double ms) {
        return Math.min(1, SHARE + (1 - SHARE) * (ms - BORN_MS) / WARM_MS);
    }

    private void sent(double ms) {
        window.add(ms);
        while (window.peek() < ms - FALL_MS) {
            window.poll();
        }
        double budget = TIP * warmth(ms) * cores / serviceMs * FALL_MS;
        worst = Math.max(worst, window.size() / (budget + 2 * Math.sqrt(budget) + 2));
    }

    /** Most that the cold server was sent in any span, over what it stands with chance allowed for; above 1 it falls. */
    double play(List<Node> nodes, int cells) {
        nodes.forEach(node -> new HollowNode(node, cells));
        while (events.peek().atMs < BORN_MS + WARM_MS) {
            Event next = events.poll();
            nowMs = next.atMs;
            next.what.run();
        }
        return worst;
    }
}

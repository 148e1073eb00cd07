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
 * Simulates many front nodes that send queries to one shard, one of whose servers restarts and warms up, and counts the
 * attempts of all nodes at that server. The decisions are those of real coordinators. Servers answer after their
 * service time; the one that warms up takes longer, by its age.
 */
final class WarmUpFleet {
    static final double MIN_CAPACITY_SHARE = 0.05;
    static final double WARM_UP_MS = 17_000;
    static final double COLLAPSE_MULTIPLE = 1.5;
    static final double COLLAPSE_AFTER_MS = 2000;
    private static final double LOOP_INTERVAL_MS = 5;
    private static final double RESTART_MS = 20_000;

    /**
     * A front node: the number of nodes that it assumes, its rate of queries, and the number of replicas in its
     * endpoint list.
     */
    record Node(int assumedNodes, double partsPerMs, int replicas) {}

    private record Event(double atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            return atMs == other.atMs ? Long.compare(number, other.number) : Double.compare(atMs, other.atMs);
        }
    }

    private final class HollowNode {
        final WindowCoordinator coordinator;
        final OpType opType = new CoordinatorScript().opType;
        final double partsPerMs;
        long timerRequests;

        HollowNode(Node node, int cells) {
            opType.latency.meanLatencyMs = serviceMs;
            opType.latency.unloadedLatencyMs = serviceMs;
            opType.latency.latencyDeviationMs = serviceMs / 5;
            coordinator = new WindowCoordinator(new Random(random.nextLong()), List.of(opType));
            coordinator
                    .configureFrontNodes(node.assumedNodes, LOOP_INTERVAL_MS)
                    .configureLayout(1, cells, cells, 1)
                    .configureAttempts(4, true, true)
                    .configureSlowStart(MIN_CAPACITY_SHARE, WARM_UP_MS, COLLAPSE_MULTIPLE, COLLAPSE_AFTER_MS)
                    .configureRetryAfter(true, 1000);
            List<Server> servers = new ArrayList<>();
            for (int replica = 0; replica < node.replicas; replica++) {
                servers.add(CoordinatorScript.createServer("s" + replica, replica % cells, Server.State.LIVE, -1));
            }
            partsPerMs = node.partsPerMs;
            carryOut(coordinator.onEndpointUpdate(servers, true, true, nowMs));
            schedule(nowMs - Math.log(1 - random.nextDouble()) / partsPerMs, this::sendQuery);
            schedule(
                    RESTART_MS,
                    () -> carryOut(coordinator.onEndpointUpdate(
                            List.of(CoordinatorScript.createServer("s0", 0, Server.State.LIVE, RESTART_MS)),
                            false,
                            true,
                            nowMs)));
        }

        private void sendQuery() {
            Multiget multiget = new Multiget();
            multiget.id = random.nextLong();
            multiget.opType = opType;
            multiget.clientTimeLeftMs = 2000;
            multiget.arrivedMs = nowMs;
            Part part = new Part();
            part.multiget = multiget;
            part.shard = coordinator.shard(0);
            part.weight = 1;
            multiget.parts.add(part);
            carryOut(coordinator.submit(multiget, nowMs));
            schedule(nowMs - Math.log(1 - random.nextDouble()) / partsPerMs, this::sendQuery);
        }

        private void carryOut(Decisions decisions) {
            for (Attempt attempt : decisions.attempts) {
                boolean warmingUp = attempt.server.id.equals("s0") && nowMs >= RESTART_MS;
                if (warmingUp) {
                    recordAttempt(nowMs);
                }
                double tookMs = serviceMs / (warmingUp ? capacityShare(nowMs) : 1);
                schedule(
                        nowMs + tookMs,
                        () -> carryOut(coordinator.onOutcome(attempt, Attempt.Outcome.ANSWERED, tookMs, nowMs)));
            }
            long timerRequest = ++timerRequests;
            schedule(nowMs + Math.max(0.01, coordinator.timeToNextTimerMs(nowMs)), () -> {
                if (timerRequest == timerRequests) {
                    carryOut(coordinator.onTimer(nowMs));
                }
            });
        }
    }

    private final Random random;
    private final double serviceMs;
    private final int cores;
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final Deque<Double> recentAttempts = new ArrayDeque<>();
    private double nowMs;
    private long nextEventNumber;
    private double worstOverload;

    WarmUpFleet(long seed, double serviceMs, int cores) {
        this.random = new Random(seed);
        this.serviceMs = serviceMs;
        this.cores = cores;
    }

    private void schedule(double atMs, Runnable action) {
        events.add(new Event(atMs, nextEventNumber++, action));
    }

    private static double capacityShare(double atMs) {
        return Math.min(1, MIN_CAPACITY_SHARE + (1 - MIN_CAPACITY_SHARE) * (atMs - RESTART_MS) / WARM_UP_MS);
    }

    private void recordAttempt(double atMs) {
        recentAttempts.add(atMs);
        while (recentAttempts.peek() < atMs - COLLAPSE_AFTER_MS) {
            recentAttempts.poll();
        }
        double allowedAttempts = COLLAPSE_MULTIPLE * capacityShare(atMs) * cores / serviceMs * COLLAPSE_AFTER_MS;
        worstOverload =
                Math.max(worstOverload, recentAttempts.size() / (allowedAttempts + 2 * Math.sqrt(allowedAttempts) + 2));
    }

    /**
     * Runs the simulation. Returns the most attempts at the restarted server in any window, divided by its capacity
     * plus a margin for chance; above 1 the server collapses.
     */
    double simulateWorstOverload(List<Node> nodes, int cells) {
        nodes.forEach(node -> new HollowNode(node, cells));
        while (events.peek().atMs < RESTART_MS + WARM_UP_MS) {
            Event next = events.poll();
            nowMs = next.atMs;
            next.action.run();
        }
        return worstOverload;
    }
}

package spartrail.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.random.RandomGenerator;
import java.util.random.RandomGeneratorFactory;

/**
 * Simulates nodes, links and a clock. Events of the same time run in the order in which they were scheduled, and all
 * random numbers come from the seed, so a seed always gives the same run; {@link #hash} tells whether two runs were
 * the same.
 */
public final class SimulatedNetwork<M> {
    /** Creates the process of a node at each of its starts, and is notified of what happens on the network. */
    public interface Simulation<M> {
        SimulatedNode<M> startProcess(int node, int startNumber, String address, double nodeMs, RandomGenerator random);

        /** Called after each step of a node. */
        default void onStep(int node, SimulatedNode<M> process, double networkMs, double nodeMs) {}

        default void onFault(Fault fault, boolean ends, double networkMs) {}

        default void onSend(int node, M message, double networkMs) {}

        /** Returns a value for the run's hash that differs between messages and is the same in every JVM. */
        long fingerprint(M message);
    }

    private record Event(double atMs, long number, Runnable action) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Double.compare(atMs, other.atMs);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private final class Node {
        final int number;
        final String address;
        SimulatedNode<M> process;
        int starts;
        double pausedUntilMs;
        double busyUntilMs;
        double stepMs;
        double nextClockRate = 1;
        double clockRate = 1;
        double startedAtMs;
        double setBackMs;
        double nextAdvanceMs = Double.POSITIVE_INFINITY;
        double lossShare;
        double delayMs;
        double duplicateShare;
        double holdUntilMs;
        final Deque<M> inbox = new ArrayDeque<>();
        boolean isTakeScheduled;

        Node(int number) {
            this.number = number;
            this.address = address(number);
        }

        /**
         * The time of the node's own clock; it is set to the network's time, less all set-backs, at each start of the
         * process.
         */
        double clockMs(double networkMs) {
            return UNIX_MS - setBackMs + startedAtMs + (networkMs - startedAtMs) * clockRate;
        }

        double networkMs(double nodeMs) {
            return startedAtMs + (nodeMs - UNIX_MS + setBackMs - startedAtMs) / clockRate;
        }
    }

    /** The Unix time at which simulated time begins. */
    public static final double UNIX_MS = 1.7e12;

    private static final double MIN_LINK_DELAY_MS = 0.1;
    private static final double ROUNDING_MS = 0.001;

    private final Simulation<M> simulation;
    private final RandomGenerator random;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byAddress = new HashMap<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final int[][] blocked;
    private final double jitterMs;
    private long nextEventNumber;
    private double nowMs;
    private long hash = 17;
    private long messages;

    public SimulatedNetwork(int size, long seed, double jitterMs, Simulation<M> simulation) {
        this.simulation = simulation;
        this.random = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.jitterMs = jitterMs;
        this.blocked = new int[size][size];
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
            byAddress.put(nodes.get(i).address, nodes.get(i));
        }
    }

    public static String address(int node) {
        return "10.0." + node / 200 + "." + (node % 200 + 1) + ":7400";
    }

    /** Schedules the start of a node. */
    public void startAt(int node, double atMs) {
        schedule(atMs, () -> startNode(nodes.get(node)));
    }

    public void scheduleFaults(List<Fault> faults) {
        faults.forEach(fault -> schedule(fault.atMs(), () -> applyFault(fault)));
    }

    private void schedule(double atMs, Runnable action) {
        queue.add(new Event(Math.max(atMs, nowMs), nextEventNumber++, action));
    }

    /** Runs all events up to this time. */
    public void runUntil(double untilMs) {
        while (!queue.isEmpty() && queue.peek().atMs <= untilMs) {
            Event event = queue.poll();
            nowMs = event.atMs;
            hash = hash * 31 + Double.hashCode(nowMs);
            event.action.run();
        }
        nowMs = untilMs;
    }

    public double nowMs() {
        return nowMs;
    }

    /** The hash over all events so far, in their order. */
    public long hash() {
        return hash;
    }

    public long messages() {
        return messages;
    }

    public boolean isRunning(int node) {
        return nodes.get(node).process != null;
    }

    public SimulatedNode<M> process(int node) {
        return nodes.get(node).process;
    }

    /** Whether messages pass between two nodes in both directions. */
    public boolean isConnected(int first, int second) {
        return first == second || blocked[first][second] == 0 && blocked[second][first] == 0;
    }

    /** Whether the node's process is paused. */
    public boolean isPaused(int node) {
        return nodes.get(node).pausedUntilMs > nowMs;
    }

    /** Schedules an action of the simulation itself. */
    public void scheduleAfter(double delayMs, Runnable action) {
        schedule(nowMs + delayMs, action);
    }

    /** Schedules a node's next advance again, as its process may now need it earlier. */
    public void reschedule(int node) {
        if (nodes.get(node).process != null) {
            scheduleAdvance(nodes.get(node));
        }
    }

    public RandomGenerator random() {
        return random;
    }

    public double clockMs(int node) {
        return nodes.get(node).clockMs(nowMs);
    }

    private void startNode(Node node) {
        if (node.process == null) {
            node.startedAtMs = nowMs;
            node.clockRate = node.nextClockRate;
            node.busyUntilMs = nowMs;
            node.process = simulation.startProcess(
                    node.number,
                    node.starts++,
                    node.address,
                    node.clockMs(nowMs),
                    RandomGeneratorFactory.of("L64X128MixRandom").create(random.nextLong()));
            step(node, null);
        }
    }

    private void stopNode(Node node) {
        node.process = null;
        node.inbox.clear();
        node.nextAdvanceMs = Double.POSITIVE_INFINITY;
    }

    /**
     * Adds a message to the node's inbox. The node handles one message after the other, and none while it is paused.
     */
    private void deliver(Node node, M message) {
        if (node.process != null) {
            node.inbox.add(message);
            takeNext(node);
        }
    }

    private void takeNext(Node node) {
        double freeMs = Math.max(node.pausedUntilMs, node.busyUntilMs);
        if (node.isTakeScheduled) {
            return;
        }
        if (freeMs > nowMs) {
            node.isTakeScheduled = true;
            schedule(freeMs, () -> {
                node.isTakeScheduled = false;
                takeNext(node);
            });
            return;
        }
        if (node.process != null && !node.inbox.isEmpty()) {
            step(node, node.inbox.poll());
            if (!node.inbox.isEmpty()) {
                takeNext(node);
            }
        }
    }

    private void step(Node node, M message) {
        double clockMs = node.clockMs(nowMs);
        hash = hash * 31 + node.number;
        if (message != null) {
            hash = hash * 31 + simulation.fingerprint(message);
            node.process.onMessage(message, clockMs);
        } else {
            node.process.advance(clockMs);
        }
        node.busyUntilMs = nowMs + node.stepMs;
        for (SimulatedNode.Envelope<M> envelope : node.process.drainMessages()) {
            messages++;
            simulation.onSend(node.number, envelope.message(), nowMs);
            transmit(node, byAddress.get(envelope.address()), envelope.message());
        }
        simulation.onStep(node.number, node.process, nowMs, clockMs);
        scheduleAdvance(node);
    }

    private void scheduleAdvance(Node node) {
        // Rounded up: at a time that is rounded down nothing would be due yet, and the advance would be scheduled for
        // ever.
        double dueMs = Math.max(node.networkMs(node.process.nextAdvanceMs()), nowMs) + ROUNDING_MS;
        if (dueMs < node.nextAdvanceMs) {
            node.nextAdvanceMs = dueMs;
            SimulatedNode<M> planned = node.process;
            schedule(dueMs, () -> advanceIfDue(node, planned, dueMs));
        }
    }

    private void advanceIfDue(Node node, SimulatedNode<M> planned, double plannedMs) {
        if (node.process != planned || node.nextAdvanceMs != plannedMs) {
            return;
        }
        double freeMs = Math.max(node.pausedUntilMs, node.busyUntilMs);
        if (freeMs > nowMs) {
            node.nextAdvanceMs = freeMs;
            schedule(freeMs, () -> advanceIfDue(node, planned, freeMs));
            return;
        }
        node.nextAdvanceMs = Double.POSITIVE_INFINITY;
        step(node, null);
    }

    private void transmit(Node from, Node to, M message) {
        if (to == null
                || blocked[from.number][to.number] > 0
                || from.lossShare > 0 && random.nextDouble() < from.lossShare) {
            return;
        }
        double delayMs = MIN_LINK_DELAY_MS
                + jitterMs * random.nextDouble() * random.nextDouble()
                + (from.delayMs > 0 ? from.delayMs * random.nextDouble() : 0);
        double atMs = Math.max(nowMs + delayMs, from.holdUntilMs);
        schedule(atMs, () -> deliver(to, message));
        if (from.duplicateShare > 0 && random.nextDouble() < from.duplicateShare) {
            schedule(atMs + 2000 * random.nextDouble(), () -> deliver(to, message));
        }
    }

    private void applyFault(Fault fault) {
        simulation.onFault(fault, false, nowMs);
        setFault(fault, true);
        boolean ends = fault.lastsMs() > 0 && fault.kind() != Fault.Kind.LEAVE;
        if (ends) {
            schedule(nowMs + fault.lastsMs(), () -> {
                setFault(fault, false);
                simulation.onFault(fault, true, nowMs);
            });
        }
    }

    private void setFault(Fault fault, boolean isActive) {
        for (int number : fault.nodes()) {
            Node node = nodes.get(number);
            switch (fault.kind()) {
                case CRASH -> {
                    if (isActive) {
                        stopNode(node);
                    } else {
                        startNode(node);
                    }
                }
                case LEAVE -> {
                    if (node.process != null) {
                        node.process.leave(node.clockMs(nowMs));
                        for (SimulatedNode.Envelope<M> envelope : node.process.drainMessages()) {
                            transmit(node, byAddress.get(envelope.address()), envelope.message());
                        }
                        simulation.onStep(node.number, node.process, nowMs, node.clockMs(nowMs));
                        stopNode(node);
                    }
                }
                case STALL -> {
                    if (isActive) {
                        node.pausedUntilMs = Math.max(node.pausedUntilMs, nowMs + fault.lastsMs());
                    }
                }
                case LOSS -> node.lossShare = isActive ? fault.size() : 0;
                case DELAY -> node.delayMs = isActive ? fault.size() : 0;
                case TWICE -> node.duplicateShare = isActive ? fault.size() : 0;
                case HELD -> node.holdUntilMs = isActive ? nowMs + fault.size() : 0;
                case SLOW -> node.stepMs = isActive ? fault.size() : 0;
                case SET_BACK -> {
                    if (isActive) {
                        stopNode(node);
                        node.setBackMs += fault.size();
                    } else {
                        startNode(node);
                    }
                }
                case CLOCK -> node.nextClockRate = fault.size();
                default -> {
                    for (int other = 0; other < nodes.size(); other++) {
                        boolean isAffected = fault.others().isEmpty()
                                ? !fault.nodes().contains(other)
                                : fault.others().contains(other);
                        if (isAffected) {
                            blocked[number][other] += isActive ? 1 : -1;
                            blocked[other][number] += fault.kind() != Fault.Kind.CUT ? 0 : isActive ? 1 : -1;
                        }
                    }
                }
            }
        }
    }
}

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
 * Nodes, links and a clock. What happens at one time happens in the order in which it came to be, and all chance is drawn
 * from the seed, so that one seed is one run; {@link #hash} tells whether two runs were the same.
 */
public final class SimulatedNetwork<M> {
    /** Who makes the guest of a node at each of its starts, and looks on. */
    public interface Scene<M> {
        SimulatedNode<M> start(int node, int startNumber, String address, double nodeMs, RandomGenerator chance);

        /** After each step of a node. */
        default void stepped(int node, SimulatedNode<M> guest, double worldMs, double nodeMs) {}

        default void faulted(Fault fault, boolean ends, double worldMs) {}

        default void sent(int node, M message, double worldMs) {}

        /** What tells a message from others, for the run's hash; the same in every process. */
        long mark(M message);
    }

    private record Event(double atMs, long number, Runnable what) implements Comparable<Event> {
        @Override
        public int compareTo(Event other) {
            int order = Double.compare(atMs, other.atMs);
            return order != 0 ? order : Long.compare(number, other.number);
        }
    }

    private final class Node {
        final int number;
        final String address;
        SimulatedNode<M> guest;
        int starts;
        double stalledUntilMs;
        double busyUntilMs;
        double slowMs;
        double pace = 1;
        double paceOfLife = 1;
        double bornMs;
        double backMs;
        double plannedMs = Double.POSITIVE_INFINITY;
        double loss;
        double delayMs;
        double twice;
        double heldUntilMs;
        final Deque<M> waiting = new ArrayDeque<>();
        boolean serving;

        Node(int number) {
            this.number = number;
            this.address = address(number);
        }

        /** The node's own clock; each life begins at the Unix time of its start. */
        double clock(double worldMs) {
            return UNIX_MS - backMs + bornMs + (worldMs - bornMs) * paceOfLife;
        }

        double world(double nodeMs) {
            return bornMs + (nodeMs - UNIX_MS + backMs - bornMs) / paceOfLife;
        }
    }

    /** Where virtual time begins. */
    public static final double UNIX_MS = 1.7e12;

    private static final double LEAST_LINK_MS = 0.1;
    private static final double ROUNDED_MS = 0.001;

    private final Scene<M> scene;
    private final RandomGenerator chance;
    private final List<Node> nodes = new ArrayList<>();
    private final Map<String, Node> byAddress = new HashMap<>();
    private final PriorityQueue<Event> queue = new PriorityQueue<>();
    private final int[][] barred;
    private final double jitterMs;
    private long count;
    private double nowMs;
    private long hash = 17;
    private long messages;

    public SimulatedNetwork(int size, long seed, double jitterMs, Scene<M> scene) {
        this.scene = scene;
        this.chance = RandomGeneratorFactory.of("L64X128MixRandom").create(seed);
        this.jitterMs = jitterMs;
        this.barred = new int[size][size];
        for (int i = 0; i < size; i++) {
            nodes.add(new Node(i));
            byAddress.put(nodes.get(i).address, nodes.get(i));
        }
    }

    public static String address(int node) {
        return "10.0." + node / 200 + "." + (node % 200 + 1) + ":7400";
    }

    /** Starts a node at this time. */
    public void start(int node, double atMs) {
        at(atMs, () -> begin(nodes.get(node)));
    }

    public void script(List<Fault> faults) {
        faults.forEach(fault -> at(fault.atMs(), () -> play(fault)));
    }

    private void at(double ms, Runnable what) {
        queue.add(new Event(Math.max(ms, nowMs), count++, what));
    }

    /** Plays on until this time. */
    public void run(double untilMs) {
        while (!queue.isEmpty() && queue.peek().atMs <= untilMs) {
            Event event = queue.poll();
            nowMs = event.atMs;
            hash = hash * 31 + Double.hashCode(nowMs);
            event.what.run();
        }
        nowMs = untilMs;
    }

    public double nowMs() {
        return nowMs;
    }

    /** Of all that happened so far, in order. */
    public long hash() {
        return hash;
    }

    public long messages() {
        return messages;
    }

    public boolean runs(int node) {
        return nodes.get(node).guest != null;
    }

    public SimulatedNode<M> guest(int node) {
        return nodes.get(node).guest;
    }

    /** What reaches one of them from the other, reaches the other one from it. */
    public boolean linked(int one, int other) {
        return one == other || barred[one][other] == 0 && barred[other][one] == 0;
    }

    /** It stands still now. */
    public boolean stands(int node) {
        return nodes.get(node).stalledUntilMs > nowMs;
    }

    /** What the scene itself does, so many milliseconds later. */
    public void later(double ms, Runnable what) {
        at(nowMs + ms, what);
    }

    /** The guest of a node may want its turn sooner than it said. */
    public void wake(int node) {
        if (nodes.get(node).guest != null) {
            plan(nodes.get(node));
        }
    }

    public RandomGenerator chance() {
        return chance;
    }

    public double clock(int node) {
        return nodes.get(node).clock(nowMs);
    }

    private void begin(Node node) {
        if (node.guest == null) {
            node.bornMs = nowMs;
            node.paceOfLife = node.pace;
            node.busyUntilMs = nowMs;
            node.guest = scene.start(
                    node.number,
                    node.starts++,
                    node.address,
                    node.clock(nowMs),
                    RandomGeneratorFactory.of("L64X128MixRandom").create(chance.nextLong()));
            step(node, null);
        }
    }

    private void end(Node node) {
        node.guest = null;
        node.waiting.clear();
        node.plannedMs = Double.POSITIVE_INFINITY;
    }

    /** A message waits for the node's thread; which takes one after the other, and none while it stands still. */
    private void arrive(Node node, M message) {
        if (node.guest != null) {
            node.waiting.add(message);
            serve(node);
        }
    }

    private void serve(Node node) {
        double freeMs = Math.max(node.stalledUntilMs, node.busyUntilMs);
        if (node.serving) {
            return;
        }
        if (freeMs > nowMs) {
            node.serving = true;
            at(freeMs, () -> {
                node.serving = false;
                serve(node);
            });
            return;
        }
        if (node.guest != null && !node.waiting.isEmpty()) {
            step(node, node.waiting.poll());
            if (!node.waiting.isEmpty()) {
                serve(node);
            }
        }
    }

    private void step(Node node, M message) {
        double clockMs = node.clock(nowMs);
        hash = hash * 31 + node.number;
        if (message != null) {
            hash = hash * 31 + scene.mark(message);
            node.guest.heard(message, clockMs);
        } else {
            node.guest.advance(clockMs);
        }
        node.busyUntilMs = nowMs + node.slowMs;
        for (SimulatedNode.Parcel<M> parcel : node.guest.sent()) {
            messages++;
            scene.sent(node.number, parcel.message(), nowMs);
            carry(node, byAddress.get(parcel.address()), parcel.message());
        }
        scene.stepped(node.number, node.guest, nowMs, clockMs);
        plan(node);
    }

    private void plan(Node node) {
        // Rounded up: a due time that is rounded down would find nothing due and come again without end.
        double dueMs = Math.max(node.world(node.guest.nextMs()), nowMs) + ROUNDED_MS;
        if (dueMs < node.plannedMs) {
            node.plannedMs = dueMs;
            SimulatedNode<M> planned = node.guest;
            at(dueMs, () -> due(node, planned, dueMs));
        }
    }

    private void due(Node node, SimulatedNode<M> planned, double plannedMs) {
        if (node.guest != planned || node.plannedMs != plannedMs) {
            return;
        }
        double freeMs = Math.max(node.stalledUntilMs, node.busyUntilMs);
        if (freeMs > nowMs) {
            node.plannedMs = freeMs;
            at(freeMs, () -> due(node, planned, freeMs));
            return;
        }
        node.plannedMs = Double.POSITIVE_INFINITY;
        step(node, null);
    }

    private void carry(Node from, Node to, M message) {
        if (to == null || barred[from.number][to.number] > 0 || from.loss > 0 && chance.nextDouble() < from.loss) {
            return;
        }
        double delayMs = LEAST_LINK_MS
                + jitterMs * chance.nextDouble() * chance.nextDouble()
                + (from.delayMs > 0 ? from.delayMs * chance.nextDouble() : 0);
        double atMs = Math.max(nowMs + delayMs, from.heldUntilMs);
        at(atMs, () -> arrive(to, message));
        if (from.twice > 0 && chance.nextDouble() < from.twice) {
            at(atMs + 2000 * chance.nextDouble(), () -> arrive(to, message));
        }
    }

    private void play(Fault fault) {
        scene.faulted(fault, false, nowMs);
        set(fault, true);
        boolean ends = fault.lastsMs() > 0 && fault.kind() != Fault.Kind.LEAVE;
        if (ends) {
            at(nowMs + fault.lastsMs(), () -> {
                set(fault, false);
                scene.faulted(fault, true, nowMs);
            });
        }
    }

    private void set(Fault fault, boolean on) {
        for (int number : fault.nodes()) {
            Node node = nodes.get(number);
            switch (fault.kind()) {
                case CRASH -> {
                    if (on) {
                        end(node);
                    } else {
                        begin(node);
                    }
                }
                case LEAVE -> {
                    if (node.guest != null) {
                        node.guest.leave(node.clock(nowMs));
                        for (SimulatedNode.Parcel<M> parcel : node.guest.sent()) {
                            carry(node, byAddress.get(parcel.address()), parcel.message());
                        }
                        scene.stepped(node.number, node.guest, nowMs, node.clock(nowMs));
                        end(node);
                    }
                }
                case STALL -> {
                    if (on) {
                        node.stalledUntilMs = Math.max(node.stalledUntilMs, nowMs + fault.lastsMs());
                    }
                }
                case LOSS -> node.loss = on ? fault.size() : 0;
                case DELAY -> node.delayMs = on ? fault.size() : 0;
                case TWICE -> node.twice = on ? fault.size() : 0;
                case HELD -> node.heldUntilMs = on ? nowMs + fault.size() : 0;
                case SLOW -> node.slowMs = on ? fault.size() : 0;
                case SET_BACK -> {
                    if (on) {
                        end(node);
                        node.backMs += fault.size();
                    } else {
                        begin(node);
                    }
                }
                case CLOCK -> node.pace = fault.size();
                default -> {
                    for (int other = 0; other < nodes.size(); other++) {
                        boolean meant = fault.others().isEmpty()
                                ? !fault.nodes().contains(other)
                                : fault.others().contains(other);
                        if (meant) {
                            barred[number][other] += on ? 1 : -1;
                            barred[other][number] += fault.kind() != Fault.Kind.CUT ? 0 : on ? 1 : -1;
                        }
                    }
                }
            }
        }
    }
}

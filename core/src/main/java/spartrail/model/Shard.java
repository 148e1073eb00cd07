package spartrail.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** A shard: who holds it, and its queue of held parts in key order. */
public final class Shard {
    public final int number;
    public final List<Server> replicas = new ArrayList<>();
    public final TreeSet<Part> queue;
    /** How long parts have lately been held, smoothed. */
    public double queueDelayMs;

    public Shard(int number, Comparator<Part> queueOrder) {
        this.number = number;
        this.queue = new TreeSet<>(queueOrder);
    }
}

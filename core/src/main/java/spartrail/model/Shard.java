package spartrail.model;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeSet;

/** A shard: the servers that hold it, and its queue of parts in release order. */
public final class Shard {
    public final int number;
    public final List<Server> replicas = new ArrayList<>();
    public final TreeSet<Part> queue;
    /** Moving average of the time that parts were queued. */
    public double queueDelayMs;

    /** A shard without replicas, with an empty queue in this order. */
    public Shard(int number, Comparator<Part> queueOrder) {
        this.number = number;
        this.queue = new TreeSet<>(queueOrder);
    }
}

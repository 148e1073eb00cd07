package spartrail.coordination;

import spartrail.model.Part;

/** Adds parts to the queues of their shards and removes them. */
final class PartQueues {
    private final EventContext context;

    PartQueues(EventContext context) {
        this.context = context;
    }

    /** Adds a part to its shard's queue, in release order. */
    void enqueue(Part part) {
        part.queued = true;
        part.queuedSinceMs = context.nowMs();
        part.shard.queue.add(part);
        part.multiget.queuedShards.add(part.shard);
    }

    /** Removes a part from its shard's queue if it is queued. */
    void dequeue(Part part) {
        if (part.queued) {
            part.queued = false;
            part.shard.queue.remove(part);
            part.multiget.queuedShards.remove(part.shard);
        }
    }
}

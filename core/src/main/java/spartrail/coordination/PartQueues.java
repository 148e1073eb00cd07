package spartrail.coordination;

import spartrail.model.Part;

/** Puts parts into the queues of their shards and takes them out again. */
final class PartQueues {
    private final EventContext context;

    PartQueues(EventContext context) {
        this.context = context;
    }

    /** Puts a part in its place in its shard's queue. */
    void enqueue(Part part) {
        part.queued = true;
        part.queuedSinceMs = context.nowMs();
        part.shard.queue.add(part);
        part.multiget.queuedShards.add(part.shard);
    }

    /** Takes a part out of its shard's queue if it is there. */
    void dequeue(Part part) {
        if (part.queued) {
            part.queued = false;
            part.shard.queue.remove(part);
            part.multiget.queuedShards.remove(part.shard);
        }
    }
}

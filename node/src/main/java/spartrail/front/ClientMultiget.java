package spartrail.front;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import spartrail.client.ClientQuery;
import spartrail.client.ClientRequest;
import spartrail.coordination.Coordinator;
import spartrail.model.Attempt;
import spartrail.model.Multiget;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.TimerQueue;
import spartrail.shard.PartRequest;

/** A multiget in flight, with the client that waits for it and the values that servers have answered. */
final class ClientMultiget extends Multiget {
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** An attempt that has had no outcome yet, and the timer at which this node stops waiting for it. */
    record InFlightAttempt(PartRequest part, TimerQueue.Timer timeout) {}

    final ClientQuery query;
    final ClientRequest request;
    final Map<Part, byte[]> values = new HashMap<>();
    final Map<Attempt, InFlightAttempt> inFlightAttempts = new IdentityHashMap<>();
    /** Answers it at the end of its client's time where nothing else has. */
    TimerQueue.Timer expiry;

    ClientMultiget(ClientQuery query, ClientRequest request, OpType opType) {
        this.query = query;
        this.request = request;
        this.opType = opType;
        id = hashId(query.id());
        key = query.key();
        clientRetry = query.retry();
    }

    /** Adds the parts that the client asked for. */
    void addParts(Coordinator coordinator) {
        for (ClientQuery.QueriedPart queried : query.parts()) {
            Part part = new Part();
            part.id = queried.shard();
            part.multiget = this;
            part.shard = coordinator.shard(queried.shard());
            part.weight = queried.weight();
            part.costMs = queried.costMs();
            costMs += queried.costMs();
            parts.add(part);
        }
    }

    /** What it takes of the node's capacity: itself and its parts. */
    int size() {
        return 1 + parts.size();
    }

    /** FNV-1a over the characters of the client's id. */
    private static long hashId(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}

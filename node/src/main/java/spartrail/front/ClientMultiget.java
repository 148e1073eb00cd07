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

/** A multiget in flight, with the request of its client and the values received from servers. */
final class ClientMultiget extends Multiget {
    private static final char PART_ID_SEPARATOR = '.';
    private static final long FNV_OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long FNV_PRIME = 0x100000001B3L;

    /** An attempt without an outcome, and the timer that ends the wait for its response. */
    record InFlightAttempt(PartRequest part, TimerQueue.Timer timeout) {}

    final ClientQuery query;
    final ClientRequest request;
    final Map<Part, byte[]> values = new HashMap<>();
    final Map<Attempt, InFlightAttempt> inFlightAttempts = new IdentityHashMap<>();
    /** Answers the multiget as failed when its client's timeout expires. */
    TimerQueue.Timer expiry;

    ClientMultiget(ClientQuery query, ClientRequest request, OpType opType) {
        this.query = query;
        this.request = request;
        this.opType = opType;
        id = hashId(query.id());
        key = query.key();
        clientRetry = query.retry();
    }

    /** Adds the parts that the client requested. */
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

    /** The id by which servers know the part for this shard. */
    String partId(int shard) {
        return query.id() + PART_ID_SEPARATOR + shard;
    }

    /** The client's id of the multiget to which the part with this id belongs. */
    static String multigetIdOf(String partId) {
        return partId.substring(0, partId.lastIndexOf(PART_ID_SEPARATOR));
    }

    /** The number of entries it counts for in the node's in-flight limit: itself and its parts. */
    int size() {
        return 1 + parts.size();
    }

    /** FNV-1a over the characters of the client's id. */
    static long hashId(String id) {
        long hash = FNV_OFFSET_BASIS;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * FNV_PRIME;
        }
        return hash;
    }
}

package spartrail.front;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.Map;
import spartrail.client.ClientQuery;
import spartrail.client.ClientRequest;
import spartrail.model.Attempt;
import spartrail.model.Multiget;
import spartrail.model.Part;
import spartrail.model.TimerQueue;
import spartrail.shard.PartRequest;

/** A multiget in hand, with the client that waits for it and what servers have answered. */
final class ClientMultiget extends Multiget {
    /** A send that has had no outcome yet, and when this node stops waiting for it. */
    record Underway(PartRequest part, TimerQueue.Timer timeOut) {}

    final ClientQuery ask;
    final ClientRequest request;
    final Map<Part, byte[]> values = new HashMap<>();
    final Map<Attempt, Underway> underway = new IdentityHashMap<>();
    /** What answers it when its time is over and nothing else has. */
    TimerQueue.Timer lastResort;

    ClientMultiget(ClientQuery ask, ClientRequest request) {
        this.ask = ask;
        this.request = request;
    }

    /** What it takes of the most that a node may have in hand. */
    int size() {
        return 1 + parts.size();
    }
}

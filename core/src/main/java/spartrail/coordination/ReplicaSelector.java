package spartrail.coordination;

import java.util.List;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Selects a replica for a part: among the replicas with free capacity, the one with the fewest batches of this node in
 * flight.
 *
 * <p>Cost: visits each replica of one shard, and for each replica the few attempts of the part. If a batch may carry
 * several parts, it also visits the shards of each replica.
 */
final class ReplicaSelector {
    private final EventContext context;
    private final ServerTable table;
    private final OutlierDetector outliers;
    private final SlowStart slowStart;

    ReplicaSelector(EventContext context, ServerTable table, OutlierDetector outliers, SlowStart slowStart) {
        this.context = context;
        this.table = table;
        this.outliers = outliers;
        this.slowStart = slowStart;
    }

    /**
     * Returns the replica to send this part to now, or null if no replica has free capacity. Prefers healthy replicas
     * at which the part has had no attempt. Ejected replicas that still answer come next: if they got no work at all,
     * the healthy ones would be overloaded. If every healthy replica has already been tried, any replica may be
     * selected.
     */
    Server select(Part part) {
        List<Server> replicas = part.shard.replicas;
        List<Server> healthy = ServerTable.findMatching(
                replicas, server -> OutlierDetector.isHealthy(server) && !part.wasAttemptedAt(server));
        Server best = findLeastLoaded(part, healthy);
        if (best == null) {
            best = findLeastLoaded(
                    part,
                    ServerTable.findMatching(
                            replicas, server -> outliers.hasAnsweredRecently(server) && !part.wasAttemptedAt(server)));
        }
        return best == null && healthy.isEmpty() ? findLeastLoaded(part, replicas) : best;
    }

    /**
     * Among equally loaded servers, returns the one that can take more of the multiget's parts in one batch; if that is
     * equal too, the one picked longest ago.
     */
    private Server findLeastLoaded(Part part, List<Server> replicas) {
        Server best = null;
        int bestBatches = 0;
        int bestShared = 0;
        for (Server server : replicas) {
            if (!mayTake(part, server)) {
                continue;
            }
            int batches = server.batchesInFlight + (hasOpenBatch(server) ? 0 : 1);
            int shared = countPartsForSameBatch(part, server);
            boolean isBetter = best == null
                    || batches < bestBatches
                    || batches == bestBatches && shared > bestShared
                    || batches == bestBatches && shared == bestShared && server.lastPickNumber < best.lastPickNumber;
            if (isBetter) {
                best = server;
                bestBatches = batches;
                bestShared = shared;
            }
        }
        return best;
    }

    private boolean mayTake(Part part, Server server) {
        return server.state == Server.State.LIVE
                && freeCapacity(server) > 0
                && !part.isInFlightAt(server)
                && slowStart.maySend(part, server);
    }

    /**
     * Returns the number of parts that may be sent to a server now. If a batch may carry several parts, a busy server
     * is sent a further batch only while its attempts in flight are below half its limit. Otherwise, under load, each
     * answer would free one slot, every part would be sent in a batch of its own, and the cost per batch would use up
     * the capacity.
     */
    private int freeCapacity(Server server) {
        boolean opensFurtherBatch = table.maxPartsPerBatch() > 1 && !server.inFlight.isEmpty() && !hasOpenBatch(server);
        int limit = opensFurtherBatch ? (server.concurrencyLimit + 1) / 2 : server.concurrencyLimit;
        return limit - server.inFlight.size();
    }

    /** Whether a part sent now would join a batch of the same event loop iteration. */
    boolean hasOpenBatch(Server server) {
        return server.latestBatch != null
                && server.latestBatch.sentMs == context.nowMs()
                && server.latestBatch.size < table.maxPartsPerBatch();
    }

    /** Returns how many queued parts of the part's multiget could be sent to this server in the same batch. */
    private int countPartsForSameBatch(Part part, Server server) {
        if (table.maxPartsPerBatch() == 1) {
            return 0;
        }
        int parts = hasOpenBatch(server) ? 1 : 0;
        for (Shard shard : server.shards) {
            if (part.multiget.queuedShards.contains(shard)) {
                parts++;
            }
        }
        int freeSlots = server.concurrencyLimit - server.inFlight.size();
        return Math.min(parts, Math.min(freeSlots, table.maxPartsPerBatch()));
    }
}

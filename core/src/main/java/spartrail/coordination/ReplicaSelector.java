package spartrail.coordination;

import java.util.List;
import spartrail.model.Part;
import spartrail.model.Server;
import spartrail.model.Shard;

/**
 * Selects the replica for a part: the one with the fewest batches of this node in flight that has free capacity.
 *
 * <p>Cost: walks the replicas of one shard, which for each walk the attempts of the part, a few; where batches carry several
 * parts, for each also the shards of the replica.
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
     * The replica to send this part to now; null if none has free capacity. Healthy replicas that have not been tried come first.
     * Ejected ones that still answer come next, as the healthy ones would be overloaded while these are spared all work.
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

    /** Ties go to the server that can take more of the multiget's parts in one batch, then to the one picked longest ago. */
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
     * Parts that may be sent to a server now. Where batches carry several parts, a busy server opens one at half its limit: under
     * load each answer would free one place, every part would travel alone, and the cost of batches would use up the capacity.
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

    /** How many queued parts of the same multiget could travel in the same batch. */
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

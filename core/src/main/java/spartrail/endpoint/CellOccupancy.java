package spartrail.endpoint;

/**
 * How many endpoints are in use in each cell. Shard s is held by the cells (s + j) mod cells, j from 0 to the replication factor
 * less one, so a cell holds as many shards as the replication factor says.
 *
 * <p>Cost: a question on a cell looks at the cells beside it, the replication factor squared, whatever the size of the fleet.
 */
final class CellOccupancy {
    private final int cells;
    private final int replicationFactor;
    private final int[] inUse;

    CellOccupancy(int cells, int replicationFactor) {
        this.cells = Math.max(1, cells);
        this.replicationFactor = Math.max(1, Math.min(replicationFactor, this.cells));
        this.inUse = new int[this.cells];
    }

    boolean contains(int cell) {
        return cell >= 0 && cell < cells;
    }

    void increment(int cell) {
        inUse[cell]++;
    }

    void decrement(int cell) {
        inUse[cell]--;
    }

    /** Whether each shard that the cell holds has at least so many endpoints in use. */
    boolean eachShardHasAtLeast(int heldBy, int least) {
        for (int first = heldBy - replicationFactor + 1; first <= heldBy; first++) {
            if (inUseFrom(first) < least) {
                return false;
            }
        }
        return true;
    }

    /** Endpoints in use for the shard whose first cell is this one. */
    private int inUseFrom(int first) {
        int count = 0;
        for (int cell = first; cell < first + replicationFactor; cell++) {
            count += inUse[Math.floorMod(cell, cells)];
        }
        return count;
    }
}

package spartrail.endpoint;

/**
 * Counts the endpoints in use in each cell. Shard s is held by the cells (s + j) mod cells, for j from 0 to the
 * replication factor minus one, so the replication factor is also the number of values of s mod cells whose
 * shards a cell holds.
 *
 * <p>Cost: {@link #eachShardHasAtLeast} reads the neighboring cells, a number of reads equal to the square of the
 * replication factor and independent of the size of the fleet.
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

    /** Whether each shard that the cell holds has at least {@code min} endpoints in use. */
    boolean eachShardHasAtLeast(int cell, int min) {
        for (int first = cell - replicationFactor + 1; first <= cell; first++) {
            if (countInUseFrom(first) < min) {
                return false;
            }
        }
        return true;
    }

    /** Counts the endpoints in use for the shard whose cells start with {@code first}. */
    private int countInUseFrom(int first) {
        int count = 0;
        for (int cell = first; cell < first + replicationFactor; cell++) {
            count += inUse[Math.floorMod(cell, cells)];
        }
        return count;
    }
}

package spartrail.subset;

/**
 * How large a subset is.
 *
 * @param replicasPerShard so many live replicas of each shard are chosen; all of them where there are fewer
 * @param leastZones they lie in so many zones at least, where the shard's live replicas do
 */
public record SubsetSettings(int replicasPerShard, int leastZones) {
    /** An IllegalArgumentException names the setting, what was found and what is expected. */
    public SubsetSettings {
        if (replicasPerShard < 1) {
            throw new IllegalArgumentException(
                    "'replicasPerShard of subset': found " + replicasPerShard + ", 1 or more is expected");
        }
        if (leastZones < 1 || leastZones > replicasPerShard) {
            throw new IllegalArgumentException("'leastZones of subset': found " + leastZones
                    + ", 1 to 'replicasPerShard', " + replicasPerShard + ", is expected");
        }
    }
}

package spartrail.subset;

/**
 * The size of a subset.
 *
 * @param replicasPerShard the number of live replicas selected per shard; all of them if there are fewer
 * @param leastZones the minimum number of zones of the selected replicas; fewer if the live replicas are in fewer zones
 */
public record SubsetSettings(int replicasPerShard, int leastZones) {
    /**
     * Checks the settings; the message of an IllegalArgumentException has the setting, the value found and the values
     * expected.
     */
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

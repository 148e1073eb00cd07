package spartrail.lab.trace;

/**
 * One multiget of a trace. Weights, work and text may be missing: then {@code weights} is null, the others are 0.
 *
 * @param atMs any clock's milliseconds; only differences count
 */
record TraceLine(
        double atMs,
        String opType,
        String key,
        int[] shards,
        double[] weights,
        double workMs,
        int textBytes,
        double clientMs) {
    TraceLine at(double ms) {
        return new TraceLine(ms, opType, key, shards, weights, workMs, textBytes, clientMs);
    }
}

package spartrail.lab.trace;

/**
 * One multiget of a trace. Weights, work and text are optional: if absent, {@code weights} is null, the others are 0.
 *
 * @param atMs time by any clock; only differences between lines matter
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
    TraceLine withTime(double newAtMs) {
        return new TraceLine(newAtMs, opType, key, shards, weights, workMs, textBytes, clientMs);
    }
}

package spartrail.endpoint;

/** The number of recent removals of an endpoint, as a count that decays exponentially. */
final class FlapHistory {
    private double removals;
    private double updatedMs;

    void recordRemoval(double nowMs, double halfLifeMs) {
        removals = recentRemovals(nowMs, halfLifeMs) + 1;
        updatedMs = nowMs;
    }

    double recentRemovals(double nowMs, double halfLifeMs) {
        return removals * Math.pow(0.5, (nowMs - updatedMs) / halfLifeMs);
    }
}

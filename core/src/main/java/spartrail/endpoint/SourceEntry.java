package spartrail.endpoint;

/**
 * The last report of one source on one endpoint, and since when the endpoint has been missing from its complete
 * answers.
 */
final class SourceEntry {
    private SourceReport report;
    private double stateSinceMs;
    /** NaN while the source lists the endpoint. */
    private double absentSinceMs = Double.NaN;

    private int absentAnswers;
    private boolean isRemoved;

    SourceEntry(double nowMs) {
        stateSinceMs = nowMs;
    }

    SourceReport report() {
        return report;
    }

    /** When the source first reported the current state. */
    double stateSinceMs() {
        return stateSinceMs;
    }

    double absentSinceMs() {
        return absentSinceMs;
    }

    int absentAnswers() {
        return absentAnswers;
    }

    boolean isAbsent() {
        return !Double.isNaN(absentSinceMs);
    }

    /** Whether the absence counts as removal of the endpoint by this source. */
    boolean isRemoved() {
        return isRemoved;
    }

    /** Stores a new report, which ends an absence. */
    void update(SourceReport newReport, double nowMs) {
        if (report != null && newReport.state() != report.state()) {
            stateSinceMs = nowMs;
        }
        report = newReport;
        absentSinceMs = Double.NaN;
        absentAnswers = 0;
        isRemoved = false;
    }

    /** Counts a complete answer that lacks the endpoint. */
    void countAbsence(double nowMs) {
        if (!isAbsent()) {
            absentSinceMs = nowMs;
        }
        absentAnswers++;
    }

    /** Makes the absence count as a removal until the source lists the endpoint again. */
    void markRemoved() {
        isRemoved = true;
    }

    /** Restores the absence that a snapshot recorded. */
    void restoreAbsence(boolean removed, double savedMs) {
        isRemoved = removed;
        if (removed) {
            absentSinceMs = savedMs;
        }
    }
}

package spartrail.endpoint;

/** What one source last reported on one endpoint, and since when its complete answers have left it out. */
final class SourceEntry {
    private SourceReport report;
    private double stateSinceMs;
    /** NaN while the source names the endpoint. */
    private double absentSinceMs = Double.NaN;

    private int absentAnswers;
    private boolean isRemoved;

    SourceEntry(double nowMs) {
        stateSinceMs = nowMs;
    }

    SourceReport report() {
        return report;
    }

    /** Since when the source has reported the present state. */
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

    /** Whether the absence counts as the endpoint's end. */
    boolean isRemoved() {
        return isRemoved;
    }

    /** The source names the endpoint with this report. */
    void update(SourceReport newReport, double nowMs) {
        if (report != null && newReport.state() != report.state()) {
            stateSinceMs = nowMs;
        }
        report = newReport;
        absentSinceMs = Double.NaN;
        absentAnswers = 0;
        isRemoved = false;
    }

    /** A complete answer lacks the endpoint. */
    void countAbsence(double nowMs) {
        if (!isAbsent()) {
            absentSinceMs = nowMs;
        }
        absentAnswers++;
    }

    /** The absence counts from now on, until the source names the endpoint again. */
    void markRemoved() {
        isRemoved = true;
    }

    /** Takes up the absence that a snapshot has kept. */
    void restoreAbsence(boolean removed, double savedMs) {
        isRemoved = removed;
        if (removed) {
            absentSinceMs = savedMs;
        }
    }
}

import java.util.ArrayList;
import java.util.List;

/** The parts that come to a server later than the rule on drains allows. */
final class LateParts {
    private static final double SOCKET_SLACK_MS = 50;
    private final double allowedMs;
    private final List<Double> late = new ArrayList<>();
    private volatile double toldMs = Double.POSITIVE_INFINITY;

    /** Watches a server; a part is late if it comes over the grace, with the slack of sockets, after the telling. */
    LateParts(IndexServer server, double graceMs) {
        allowedMs = graceMs + SOCKET_SLACK_MS;
        server.observer = part -> {
            double afterMs = part.atMs() - toldMs;
            if (afterMs > allowedMs) {
                add(afterMs);
            }
        };
    }

    private synchronized void add(double afterMs) {
        late.add(afterMs);
    }

    void told(double atMs) {
        toldMs = atMs;
    }

    /** Reports, and returns the exit status. */
    synchronized int report(Record record, boolean couldRun) {
        record.say("%d parts came to the draining server over %.0f ms after its drain was told", late.size(), allowedMs);
        if (!late.isEmpty()) {
            record.say("the first one %.0f ms, the last one %.0f ms after", late.get(0), late.get(late.size() - 1));
        }
        if (!couldRun) {
            return Rig.COULD_NOT_RUN;
        }
        return late.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }
}

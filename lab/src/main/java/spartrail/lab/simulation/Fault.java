package spartrail.lab.simulation;

import java.util.List;

/**
 * One fault in a scenario's script.
 *
 * @param nodes the nodes affected; for cuts, the first group
 * @param others for cuts, the second group; empty means all nodes that are not in the first
 * @param lastsMs the duration, for faults that end by themselves; else 0
 * @param size the magnitude: a share of lost messages, milliseconds of delay, or a clock's rate
 */
public record Fault(double atMs, Kind kind, List<Integer> nodes, List<Integer> others, double lastsMs, double size) {
    /** The kinds of fault. */
    public enum Kind {
        /** The process is killed; with a duration, it starts again afterwards. */
        CRASH,
        /** The process announces that it leaves, and ends. */
        LEAVE,
        /** The process pauses, then resumes and handles all messages that arrived meanwhile. */
        STALL,
        /** No message passes between the groups, in either direction. */
        CUT,
        /** No message passes from the first group to the second. */
        ONE_WAY,
        /** A share of the nodes' messages is lost. */
        LOSS,
        /** The nodes' messages are delayed by a random time up to this many milliseconds. */
        DELAY,
        /** A share of the nodes' messages is delivered twice, the second copy up to 2 s late. */
        TWICE,
        /**
         * Messages that the nodes send during the fault are held, and delivered this many milliseconds after the
         * fault began.
         */
        HELD,
        /** Each step of the node takes this many milliseconds. */
        SLOW,
        /** The node's clock runs at this multiple of the correct rate, from the process's next start on. */
        CLOCK,
        /**
         * The process is killed, the machine's clock is set back by this many milliseconds, and the process starts
         * again.
         */
        SET_BACK
    }

    @Override
    public String toString() {
        return String.format(
                java.util.Locale.ROOT,
                "%.0f ms %s %s%s%s%s",
                atMs,
                kind,
                nodes,
                others.isEmpty() ? "" : " from " + others,
                lastsMs > 0 ? String.format(java.util.Locale.ROOT, " for %.0f ms", lastsMs) : "",
                size > 0 ? String.format(java.util.Locale.ROOT, " by %.3g", size) : "");
    }
}

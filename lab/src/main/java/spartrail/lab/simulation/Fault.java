package spartrail.lab.simulation;

import java.util.List;

/**
 * One fault of a script.
 *
 * @param nodes whom it concerns: the nodes, or the first group
 * @param others for cuts: the second group; empty means all that are not in the first
 * @param lastsMs how long it lasts, where it ends by itself
 * @param size how strong it is: a share of lost messages, milliseconds of delay, a clock's pace
 */
public record Fault(double atMs, Kind kind, List<Integer> nodes, List<Integer> others, double lastsMs, double size) {
    /** What happens. */
    public enum Kind {
        /** The process is gone; with a length, it starts again after it. */
        CRASH,
        /** It ends itself, saying so. */
        LEAVE,
        /** It stands still, and then goes on with all that came meanwhile. */
        STALL,
        /** Nothing passes between the groups, either way. */
        CUT,
        /** Nothing passes from the first group to the second. */
        ONE_WAY,
        /** A share of what the nodes send is lost. */
        LOSS,
        /** What the nodes send takes so much longer, by chance up to that. */
        DELAY,
        /** A share of what the nodes send comes twice, the second one late by up to 2 s. */
        TWICE,
        /** What the nodes send while it lasts is kept and comes so many milliseconds after its beginning. */
        HELD,
        /** Each step of the node takes so many milliseconds. */
        SLOW,
        /** The node's clock runs at so many times the right pace, from its next start on. */
        CLOCK,
        /** The machine's clock is set back by so many milliseconds; the node is killed and starts again by it. */
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

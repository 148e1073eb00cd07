package spartrail.lab.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import spartrail.lab.file.InvalidInputException;

/**
 * Puts the lines of a trace into order of time, without I/O. Rules, each counted:
 *
 * <pre>
 * a line that is early by no more than the window      put into its place
 * one that is earlier than that                         refused with its number; with clamp, moved up to where the trace is
 * so many of these in a row                             the clock stepped back: with clamp, all later times are moved on
 * a line that is the same as one within the window      left out, unless duplicates are kept
 * a gap longer than the squeeze                         shortened to it
 * </pre>
 */
final class Reorder {
    private record Entry(double atMs, long number, TraceLine line) {}

    /** Late lines in a row that make a step of the clock rather than stragglers. */
    static final int STEP_AFTER = 20;
    /** Danger: a window of minutes over a busy trace would hold all of it. */
    static final int MOST_HELD = 500_000;

    private final double windowMs;
    private final boolean clamp;
    private final double squeezeMs;
    private final boolean keepDuplicates;
    private final Consumer<TraceLine> out;
    private final PriorityQueue<Entry> held = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private final Set<Long> seen = new HashSet<>();
    private final Deque<double[]> seenWhen = new ArrayDeque<>();
    private final Deque<Long> seenHash = new ArrayDeque<>();
    private double newestMs = Double.NEGATIVE_INFINITY;
    private double releasedMs = Double.NEGATIVE_INFINITY;
    private double lastOutMs = Double.NaN;
    private double squeezedMs;
    private double steppedMs;
    private int lateInARow;

    long sorted;
    long clamped;
    long steps;
    long duplicates;
    long squeezed;
    long count;

    Reorder(double windowMs, boolean clamp, double squeezeMs, boolean keepDuplicates, Consumer<TraceLine> out) {
        this.windowMs = windowMs;
        this.clamp = clamp;
        this.squeezeMs = squeezeMs;
        this.keepDuplicates = keepDuplicates;
        this.out = out;
    }

    /** A line with its number in the file and a hash of its bytes; {@code place} names the file. */
    void take(TraceLine line, long number, long hash, String place) {
        double atMs = line.atMs() + steppedMs;
        if (!keepDuplicates && !seen.add(hash)) {
            duplicates++;
            return;
        }
        if (!keepDuplicates) {
            seenHash.add(hash);
            seenWhen.add(new double[] {Math.max(newestMs, atMs)});
        }
        if (atMs < newestMs - windowMs) {
            if (!clamp) {
                throw new InvalidInputException(String.format(
                        java.util.Locale.ROOT,
                        "%s:%d: this line is %.3f ms earlier than one"
                                + " before it, at most %.3f ms can be put into order; give a larger --reorder-ms, or --clamp",
                        place,
                        number,
                        newestMs - atMs,
                        windowMs));
            }
            if (++lateInARow >= STEP_AFTER) {
                steps++;
                lateInARow = 0;
                steppedMs += newestMs - atMs;
                atMs = newestMs;
            } else {
                clamped++;
                atMs = Math.max(releasedMs, newestMs - windowMs);
            }
        } else {
            lateInARow = 0;
            if (atMs < newestMs) {
                sorted++;
            }
        }
        newestMs = Math.max(newestMs, atMs);
        held.add(new Entry(atMs, number, line));
        if (held.size() > MOST_HELD) {
            throw new InvalidInputException(place + ":" + number + ": more than " + MOST_HELD
                    + " lines within the reorder window of " + windowMs + " ms; give a smaller --reorder-ms");
        }
        release(newestMs - windowMs);
    }

    private void release(double untilMs) {
        while (!held.isEmpty() && held.peek().atMs() <= untilMs) {
            Entry entry = held.poll();
            releasedMs = entry.atMs();
            if (!Double.isNaN(lastOutMs) && squeezeMs > 0 && releasedMs - lastOutMs > squeezeMs) {
                squeezed++;
                squeezedMs += releasedMs - lastOutMs - squeezeMs;
            }
            lastOutMs = releasedMs;
            count++;
            out.accept(entry.line().at(releasedMs - squeezedMs));
        }
        while (!seenWhen.isEmpty() && (seenWhen.peek()[0] < untilMs || seenWhen.size() > MOST_HELD)) {
            seenWhen.poll();
            seen.remove(seenHash.poll());
        }
    }

    void end() {
        release(Double.POSITIVE_INFINITY);
    }
}

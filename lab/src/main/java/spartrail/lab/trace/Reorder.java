package spartrail.lab.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import spartrail.lab.file.InvalidInputException;

/**
 * Sorts the lines of a trace by time within a window, without I/O. Each case has a rule and is counted:
 *
 * <pre>
 * late by up to the window                               sorted by its time
 * late by more than the window                           an error that names the line; with clamp, moved to the
 *                                                        start of the window
 * {@link #CLOCK_STEP_AFTER_LINES} of these in a row      the clock was set back: with clamp, all later times shift
 * equal to a line within the window                      dropped, unless duplicates are kept
 * after a gap longer than {@code squeezeMs}              moved forward: the gap is shortened to {@code squeezeMs}
 * </pre>
 */
final class Reorder {
    private record Entry(double atMs, long number, TraceLine line) {}

    /** This many late lines in a row mean that the clock was set back; fewer count as single delayed lines. */
    static final int CLOCK_STEP_AFTER_LINES = 20;
    /** Limits the memory: with a window of minutes, all lines of a busy trace would be buffered. */
    static final int MAX_BUFFERED_LINES = 500_000;

    private final double windowMs;
    private final boolean clamp;
    private final double squeezeMs;
    private final boolean keepDuplicates;
    private final Consumer<TraceLine> out;
    private final PriorityQueue<Entry> buffered = new PriorityQueue<>(
            (a, b) -> a.atMs() != b.atMs() ? Double.compare(a.atMs(), b.atMs()) : Long.compare(a.number(), b.number()));
    private final Set<Long> seenHashSet = new HashSet<>();
    private final Deque<double[]> seenTimes = new ArrayDeque<>();
    private final Deque<Long> seenHashes = new ArrayDeque<>();
    private double newestMs = Double.NEGATIVE_INFINITY;
    private double lastReleasedMs = Double.NEGATIVE_INFINITY;
    private double lastEmittedMs = Double.NaN;
    private double removedGapsMs;
    private double clockOffsetMs;
    private int lateLinesInARow;

    long sorted;
    long clamped;
    long clockSteps;
    long duplicates;
    long squeezedGaps;
    long released;

    Reorder(double windowMs, boolean clamp, double squeezeMs, boolean keepDuplicates, Consumer<TraceLine> out) {
        this.windowMs = windowMs;
        this.clamp = clamp;
        this.squeezeMs = squeezeMs;
        this.keepDuplicates = keepDuplicates;
        this.out = out;
    }

    /** Adds a line with its number in the file and the hash of its text; {@code fileName} is for error messages. */
    void add(TraceLine line, long number, long hash, String fileName) {
        double atMs = line.atMs() + clockOffsetMs;
        if (!keepDuplicates && !seenHashSet.add(hash)) {
            duplicates++;
            return;
        }
        if (!keepDuplicates) {
            seenHashes.add(hash);
            seenTimes.add(new double[] {Math.max(newestMs, atMs)});
        }
        if (atMs < newestMs - windowMs) {
            if (!clamp) {
                throw new InvalidInputException(String.format(
                        java.util.Locale.ROOT,
                        "%s:%d: this line is %.3f ms earlier than one"
                                + " before it, at most %.3f ms can be put into order; give a larger --reorder-ms, or --clamp",
                        fileName,
                        number,
                        newestMs - atMs,
                        windowMs));
            }
            if (++lateLinesInARow >= CLOCK_STEP_AFTER_LINES) {
                clockSteps++;
                lateLinesInARow = 0;
                clockOffsetMs += newestMs - atMs;
                atMs = newestMs;
            } else {
                clamped++;
                atMs = Math.max(lastReleasedMs, newestMs - windowMs);
            }
        } else {
            lateLinesInARow = 0;
            if (atMs < newestMs) {
                sorted++;
            }
        }
        newestMs = Math.max(newestMs, atMs);
        buffered.add(new Entry(atMs, number, line));
        if (buffered.size() > MAX_BUFFERED_LINES) {
            throw new InvalidInputException(fileName + ":" + number + ": more than " + MAX_BUFFERED_LINES
                    + " lines within the reorder window of " + windowMs + " ms; give a smaller --reorder-ms");
        }
        release(newestMs - windowMs);
    }

    private void release(double untilMs) {
        while (!buffered.isEmpty() && buffered.peek().atMs() <= untilMs) {
            Entry entry = buffered.poll();
            lastReleasedMs = entry.atMs();
            if (!Double.isNaN(lastEmittedMs) && squeezeMs > 0 && lastReleasedMs - lastEmittedMs > squeezeMs) {
                squeezedGaps++;
                removedGapsMs += lastReleasedMs - lastEmittedMs - squeezeMs;
            }
            lastEmittedMs = lastReleasedMs;
            released++;
            out.accept(entry.line().withTime(lastReleasedMs - removedGapsMs));
        }
        while (!seenTimes.isEmpty() && (seenTimes.peek()[0] < untilMs || seenTimes.size() > MAX_BUFFERED_LINES)) {
            seenTimes.poll();
            seenHashSet.remove(seenHashes.poll());
        }
    }

    /** Releases all lines that are still buffered. */
    void finish() {
        release(Double.POSITIVE_INFINITY);
    }
}

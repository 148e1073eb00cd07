package spartrail.lab.trace;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.Consumer;
import spartrail.lab.file.InvalidInputException;

/**
 * Sorts the lines of a trace by time within a window, without I/O. Rules, each counted:
 *
 * <pre>
 * late by no more than the window                       sorted into its place
 * later than that                                       an error with its number; with clamp, moved to the window's start
 * {@link #CLOCK_STEP_AFTER_LINES} of these in a row     the clock was set back: with clamp, all later times are shifted
 * equal to a line within the window                     dropped, unless duplicates are kept
 * a gap longer than the squeeze                         shortened to it
 * </pre>
 */
final class Reorder {
    private record Entry(double atMs, long number, TraceLine line) {}

    /** More late lines in a row are a clock that was set back rather than stragglers. */
    static final int CLOCK_STEP_AFTER_LINES = 20;
    /** Bounds the memory: a window of minutes over a busy trace would buffer all of it. */
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

    /** Adds a line with its number in the file and a hash of its bytes; {@code place} names the file. */
    void add(TraceLine line, long number, long hash, String place) {
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
                        place,
                        number,
                        newestMs - atMs,
                        windowMs));
            }
            if (++lateLinesInARow >= CLOCK_STEP_AFTER_LINES) {
                steps++;
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
            throw new InvalidInputException(place + ":" + number + ": more than " + MAX_BUFFERED_LINES
                    + " lines within the reorder window of " + windowMs + " ms; give a smaller --reorder-ms");
        }
        release(newestMs - windowMs);
    }

    private void release(double untilMs) {
        while (!buffered.isEmpty() && buffered.peek().atMs() <= untilMs) {
            Entry entry = buffered.poll();
            lastReleasedMs = entry.atMs();
            if (!Double.isNaN(lastEmittedMs) && squeezeMs > 0 && lastReleasedMs - lastEmittedMs > squeezeMs) {
                squeezed++;
                removedGapsMs += lastReleasedMs - lastEmittedMs - squeezeMs;
            }
            lastEmittedMs = lastReleasedMs;
            count++;
            out.accept(entry.line().withTime(lastReleasedMs - removedGapsMs));
        }
        while (!seenTimes.isEmpty() && (seenTimes.peek()[0] < untilMs || seenTimes.size() > MAX_BUFFERED_LINES)) {
            seenTimes.poll();
            seenHashSet.remove(seenHashes.poll());
        }
    }

    /** Emits what is still buffered. */
    void finish() {
        release(Double.POSITIVE_INFINITY);
    }
}

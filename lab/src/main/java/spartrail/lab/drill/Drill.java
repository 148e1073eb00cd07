package spartrail.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A self-checking scenario: it compares what happened with what was expected. */
public interface Drill {
    /** One compared value: what was expected, what was observed, and whether it passed. */
    record Finding(String description, String expected, String observed, boolean passed) {}

    /** Collects findings. */
    final class Findings {
        private final List<Finding> all = new ArrayList<>();

        /** Passes if the observed value differs from the expected one by no more than the tolerance. */
        public void checkClose(String what, double expected, double seen, double tolerance) {
            all.add(new Finding(
                    what,
                    String.format(Locale.ROOT, "%.3f", expected),
                    String.format(Locale.ROOT, "%.3f", seen),
                    Math.abs(expected - seen) <= tolerance));
        }

        public void checkAtMost(String what, double most, double seen) {
            all.add(new Finding(
                    what,
                    String.format(Locale.ROOT, "at most %.3f", most),
                    String.format(Locale.ROOT, "%.3f", seen),
                    seen <= most));
        }

        public void checkAtLeast(String what, double least, double seen) {
            all.add(new Finding(
                    what,
                    String.format(Locale.ROOT, "at least %.3f", least),
                    String.format(Locale.ROOT, "%.3f", seen),
                    seen >= least));
        }

        public void checkEqual(String what, Object expected, Object seen) {
            all.add(new Finding(what, String.valueOf(expected), String.valueOf(seen), expected.equals(seen)));
        }

        /** Adds a value for information; it always passes. */
        public void note(String what, String seen) {
            all.add(new Finding(what, "-", seen, true));
        }

        public List<Finding> all() {
            return all;
        }
    }

    String name();

    String summary();

    /** The subsystem or rule that the drill checks. */
    String subsystem();

    void run(long seed, Findings findings) throws Exception;
}

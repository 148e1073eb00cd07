package spartrail.lab.drill;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** A scenario that says itself whether it went as it should. */
public interface Drill {
    /** What was expected beside what was seen. */
    record Finding(String description, String expected, String observed, boolean passed) {}

    /** Collects findings. */
    final class Findings {
        private final List<Finding> all = new ArrayList<>();

        /** Equal to so many digits. */
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

        /** Told, not judged. */
        public void note(String what, String seen) {
            all.add(new Finding(what, "-", seen, true));
        }

        public List<Finding> all() {
            return all;
        }
    }

    String name();

    String summary();

    /** Which subsystem or rule it belongs to. */
    String subsystem();

    void run(long seed, Findings findings) throws Exception;
}

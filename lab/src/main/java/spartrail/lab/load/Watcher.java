package spartrail.lab.load;

/** Who looks on while a generator runs: rules, a live view. */
public interface Watcher {
    Watcher NONE = new Watcher() {};

    default void sent(Ask ask, double nowMs) {}

    default void ended(Ask ask, Kind kind, Answer answer, double nowMs) {}

    /** Bytes came where no answer was owed. */
    default void extra(double nowMs) {}
}

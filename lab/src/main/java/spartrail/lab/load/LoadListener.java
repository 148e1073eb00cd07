package spartrail.lab.load;

/** Who looks on while a generator runs: rules, a live view. */
public interface LoadListener {
    LoadListener NONE = new LoadListener() {};

    default void sent(ClientAttempt ask, double nowMs) {}

    default void ended(ClientAttempt ask, AttemptResult kind, HttpResponse answer, double nowMs) {}

    /** Bytes came where no answer was owed. */
    default void extra(double nowMs) {}
}

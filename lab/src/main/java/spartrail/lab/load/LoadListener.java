package spartrail.lab.load;

/** Who looks on while a generator runs: rules, a live view. */
public interface LoadListener {
    LoadListener NONE = new LoadListener() {};

    default void onSent(ClientAttempt ask, double nowMs) {}

    default void onEnded(ClientAttempt ask, AttemptResult kind, HttpResponse answer, double nowMs) {}

    /** Bytes came where no answer was owed. */
    default void onUnexpectedBytes(double nowMs) {}
}

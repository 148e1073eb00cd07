package spartrail.lab.load;

/** Observes the attempts of a running generator, for instance to check rules. */
public interface LoadListener {
    LoadListener NONE = new LoadListener() {};

    default void onSent(ClientAttempt attempt, double nowMs) {}

    default void onEnded(ClientAttempt attempt, AttemptResult kind, HttpResponse answer, double nowMs) {}

    /** Bytes arrived on a connection without an open request. */
    default void onUnexpectedBytes(double nowMs) {}
}

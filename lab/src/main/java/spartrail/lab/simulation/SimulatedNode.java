package spartrail.lab.simulation;

import java.util.List;

/** The process of a simulated node: a component of the front node without I/O. Times are of the node's own clock. */
public interface SimulatedNode<M> {
    /** A message with its destination address. */
    record Envelope<M>(String address, M message) {}

    void onMessage(M message, double nowMs);

    void advance(double nowMs);

    /** The time at which {@link #advance} is due next. */
    double nextAdvanceMs();

    /** Returns the messages to send and removes them from the outbox. */
    List<Envelope<M>> drainMessages();

    /** Announces that the process is about to end. */
    default void leave(double nowMs) {}
}

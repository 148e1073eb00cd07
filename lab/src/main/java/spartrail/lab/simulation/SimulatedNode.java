package spartrail.lab.simulation;

import java.util.List;

/** What lives on a virtual node: an I/O-free part of the program. Times are the node's own clock. */
public interface SimulatedNode<M> {
    /** A message and the address that it goes to. */
    record Envelope<M>(String address, M message) {}

    void onMessage(M message, double nowMs);

    void advance(double nowMs);

    /** When it wants to be advanced. */
    double nextAdvanceMs();

    /** What it wants to be sent; handed out once. */
    List<Envelope<M>> drainMessages();

    /** It is asked to end. */
    default void leave(double nowMs) {}
}

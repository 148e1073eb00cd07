package spartrail.lab.fleet;

/**
 * Observes the parts that reach the servers and the states that discovery reports. All methods are called on the
 * fleet's thread; {@code node} is the number of a front node.
 */
public interface FleetListener {
    FleetListener NONE = new FleetListener() {};

    /** A part has arrived at a server. */
    default void onPartReceived(int node, String server, String partId, double atMs) {}

    /** A part has ended at its server; it may have been executed unless the end is REJECTED. */
    default void onPartEnded(int node, String server, String partId, ServerModel.End end, double atMs) {}

    /** Discovery has sent a server's state to a node; the state itself changed at {@code changedMs}. */
    default void onStateWritten(int node, String server, String state, double bornMs, double changedMs, double atMs) {}

    /** Discovery can report a changed state to a node from now on; not called while it is silent or stale. */
    default void onStateChanged(int node, String server, String state, double atMs) {}

    /** A cold server has crashed; {@code load} is the work it was sent, relative to its crash threshold. */
    default void onServerCrashed(String server, double load, double atMs) {}

    /** The script or an operator has run an action. */
    default void onAction(String description, double atMs) {}
}

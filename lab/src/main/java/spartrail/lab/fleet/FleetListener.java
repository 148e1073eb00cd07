package spartrail.lab.fleet;

/** Who looks on at what reaches the servers and what the roll tells; called on the fleet's thread. Nodes by number. */
public interface FleetListener {
    FleetListener NONE = new FleetListener() {};

    /** A part has reached a server. */
    default void onPartReceived(int node, String server, String partId, double atMs) {}

    /** How it ended there; it may have run unless it was turned away. */
    default void onPartEnded(int node, String server, String partId, ServerModel.End end, double atMs) {}

    /** The roll has written this state to a node; {@code changedMs} is when it came to be. */
    default void onStateWritten(int node, String server, String state, double bornMs, double changedMs, double atMs) {}

    /** A state has changed and can be told to a node from now on; not called while the roll is silent or stale. */
    default void onStateChanged(int node, String server, String state, double atMs) {}

    /** A server fell over; how much it was sent, as a part of what makes it fall. */
    default void onServerCrashed(String server, double load, double atMs) {}

    /** Something was done by the script or by hand. */
    default void onAction(String what, double atMs) {}
}

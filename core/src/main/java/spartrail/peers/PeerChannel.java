package spartrail.peers;

import java.util.List;
import java.util.Map;

/**
 * A subsystem that exchanges its own messages over the gossip socket, on a separate channel. Its methods are called on
 * the gossip thread and must not block.
 */
public interface PeerChannel {
    /** An empty list, for a transport without further channels. */
    List<PeerChannel> NONE = List.of();

    /** The number in the channel's frames; 0 to 2 are reserved for the transport. */
    int number();

    /** Starts the channel; called before all other methods except {@link #number}. */
    void start(Context context);

    /** Handles bytes received on this channel from the address {@code sender}. */
    void onMessage(String sender, byte[] bytes);

    /** Handles the current view: called when it has changed, and periodically without a change. */
    void onView(MembershipView view);

    /** The transport as a channel sees it; may be used from any thread. */
    interface Context {
        /** Maximum size of the bytes in one frame. */
        int MAX_MESSAGE_BYTES = 1100;

        /** This node's name in the fleet. */
        String nodeName();

        /** The fleet's name. */
        String fleetName();

        /** Whether the address is one of an operator. */
        boolean isOperator(String address);

        /** The section of the peers file for this channel, a JSON object; empty if the file has none of that name. */
        Map<?, ?> section(String name);

        /** Sends bytes in one datagram, which may be lost, delayed, duplicated or reordered. */
        void send(String address, byte[] bytes);

        /** Appends a line to the history file, if one is configured; values are strings, numbers and booleans. */
        void recordEvent(String event, Map<String, ?> fields);
    }
}

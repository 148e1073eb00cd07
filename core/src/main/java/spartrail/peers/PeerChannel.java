package spartrail.peers;

import java.util.List;
import java.util.Map;

/**
 * Another subsystem whose messages travel by the same socket as those among nodes, on a channel of their own. It is called on
 * the gossip thread, so none of its methods may wait.
 */
public interface PeerChannel {
    /** None. */
    List<PeerChannel> NONE = List.of();

    /** The number that the channel's frames bear; 0 to 2 are the transport's own. */
    int number();

    /** Called before anything else. */
    void start(Context context);

    /** Bytes have come on this channel from that address. */
    void onMessage(String sender, byte[] bytes);

    /** The view of the other nodes has changed, or a while has passed. */
    void onView(MembershipView view);

    /** What a channel may use of the transport, from any thread. */
    interface Context {
        /** Bytes that one frame carries at most. */
        int MAX_MESSAGE_BYTES = 1100;

        /** This node's name in the fleet. */
        String nodeName();

        /** The fleet's name. */
        String fleetName();

        /** Whether whoever sends from there is an operator. */
        boolean isOperator(String address);

        /** What the peers' file says to this channel, a JSON object by names; empty where it says nothing. */
        Map<?, ?> section(String name);

        /** Sends bytes; they may be lost, come late, twice or in another order. */
        void send(String address, byte[] bytes);

        /** Adds a line to the history, if one is kept; values are texts, numbers and flags. */
        void recordEvent(String event, Map<String, ?> fields);
    }
}

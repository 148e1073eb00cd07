package spartrail.peers;

import java.util.List;
import java.util.Map;

/**
 * Another subsystem whose messages travel by the same socket as talk among nodes, on a lane of their own. Called on the talk's
 * thread, so none of these may wait.
 */
public interface PeerChannel {
    /** What the lane's frames bear; 0 to 2 are the talk's own. */
    int number();

    /** Before anything else: by what it sends. */
    void begin(Carrier carrier);

    /** Bytes of this lane have come from this address. */
    void heard(String from, byte[] bytes);

    /** What is known of the other nodes has changed, or a while has passed. */
    void seen(MembershipView view);

    /** What a lane may use of the talk, from any thread. */
    interface Carrier {
        /** Most bytes that one frame carries. */
        int MOST_BYTES = 1100;

        /** This node's name in the fleet, and the fleet's. */
        String name();

        String fleet();

        /** Whether whoever sends from there is an operator. */
        boolean operator(String address);

        /** What the peers' file says to this lane, a JSON object by names; empty where it says nothing. */
        Map<?, ?> told(String part);

        /** May be lost, come late, twice or in another order. */
        void send(String address, byte[] bytes);

        /** A line of the history, if one is kept. */
        void note(String what, Map<String, ?> fields);

        /** The same for text, numbers and flags given as name, value, name, value. */
        default void note(String what, Object... namesAndValues) {
            Map<String, Object> fields = new java.util.LinkedHashMap<>();
            for (int i = 0; i < namesAndValues.length; i += 2) {
                fields.put((String) namesAndValues[i], namesAndValues[i + 1]);
            }
            note(what, fields);
        }
    }

    /** None. */
    List<PeerChannel> NONE = List.of();
}

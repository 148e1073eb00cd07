package spartrail.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** The random order in which peers are probed: each peer once before any peer is probed a second time. */
final class ProbeOrder {
    private final MembershipContext context;
    private final PeerTable table;
    private final Deque<String> names = new ArrayDeque<>();

    ProbeOrder(MembershipContext context, PeerTable table) {
        this.context = context;
        this.table = table;
    }

    /** Removes and returns the next present peer, or returns null if there is none. */
    Peer takeNext() {
        for (int i = 0; i <= table.size(); i++) {
            if (names.isEmpty()) {
                List<String> shuffled = table.sortedNames(peer -> true);
                context.shuffle(shuffled);
                names.addAll(shuffled);
            }
            String name = names.poll();
            Peer peer = name == null ? null : table.get(name);
            if (peer != null && peer.state.isPresent()) {
                return peer;
            }
        }
        return null;
    }

    /**
     * Inserts a peer at a random position; otherwise nodes that learn of many new peers would all probe in the same
     * order.
     */
    void insert(String name) {
        List<String> order = new ArrayList<>(names);
        order.add(context.random().nextInt(order.size() + 1), name);
        names.clear();
        names.addAll(order);
    }
}

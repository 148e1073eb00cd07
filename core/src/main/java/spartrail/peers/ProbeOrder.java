package spartrail.peers;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;

/** Whom to probe next: each peer once before any one twice, in a random order. */
final class ProbeOrder {
    private final MembershipContext context;
    private final PeerTable table;
    private final Deque<String> names = new ArrayDeque<>();

    ProbeOrder(MembershipContext context, PeerTable table) {
        this.context = context;
        this.table = table;
    }

    /** The next one that is present, or null. */
    Peer next() {
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

    /** Adds a peer at a random place, so that an update on many new ones does not make all nodes probe in one order. */
    void insert(String name) {
        List<String> order = new ArrayList<>(names);
        order.add(context.random().nextInt(order.size() + 1), name);
        names.clear();
        names.addAll(order);
    }
}

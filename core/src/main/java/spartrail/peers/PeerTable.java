package spartrail.peers;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * The other nodes by name. The table maintains the count of present peers and the list of alive peers incrementally, so
 * that the cost of a message does not grow with the fleet. Only tasks that run once per interval may iterate over all
 * peers.
 */
final class PeerTable {
    private final MembershipContext context;
    private final Map<String, Peer> peers = new HashMap<>();
    private final List<Peer> alivePeers = new ArrayList<>();
    private int presentPeers;
    private long digest;

    PeerTable(MembershipContext context) {
        this.context = context;
    }

    /** The peer of that name, or null. */
    Peer get(String name) {
        return peers.get(name);
    }

    Collection<Peer> peers() {
        return peers.values();
    }

    int size() {
        return peers.size();
    }

    int aliveCount() {
        return alivePeers.size();
    }

    /** Number of present nodes, this one included. */
    int presentCount() {
        return 1 + presentPeers;
    }

    boolean hasPresentPeers() {
        return presentPeers > 0;
    }

    /** The peers' contribution to the digest of this node's view. */
    long digest() {
        return digest;
    }

    /** Names of the matching peers, sorted so that random draws from them are reproducible with the same seed. */
    List<String> sortedNames(Predicate<Peer> filter) {
        List<String> names = new ArrayList<>();
        peers.forEach((name, peer) -> {
            if (filter.test(peer)) {
                names.add(name);
            }
        });
        Collections.sort(names);
        return names;
    }

    boolean hasPresentPeerAt(String address) {
        return peers.values().stream()
                .anyMatch(peer -> peer.descriptor.address().equals(address) && peer.state.isPresent());
    }

    boolean hasPeerAt(String address) {
        return peers.values().stream()
                .anyMatch(peer -> peer.descriptor.address().equals(address));
    }

    /** The peer that has been gone or has left for the longest time. */
    Optional<Peer> oldestDeparted() {
        return peers.values().stream()
                .filter(peer -> !peer.state.isPresent())
                .min(Comparator.comparingDouble((Peer peer) -> peer.stateSinceMs)
                        .thenComparing(peer -> peer.descriptor.name()));
    }

    /** Draws up to {@code maxCount} random alive peers, except for the one with the excluded name. */
    List<Peer> sampleAlive(int maxCount, String excludedName) {
        List<Peer> sample = new ArrayList<>();
        for (int i = 0; i < alivePeers.size() && sample.size() < maxCount; i++) {
            Peer picked = swapAlive(i, i + context.random().nextInt(alivePeers.size() - i));
            if (!picked.descriptor.name().equals(excludedName)) {
                sample.add(picked);
            }
        }
        return sample;
    }

    private Peer swapAlive(int index, int otherIndex) {
        Peer picked = alivePeers.get(otherIndex);
        alivePeers.set(otherIndex, alivePeers.get(index));
        alivePeers.get(index).aliveIndex = otherIndex;
        alivePeers.set(index, picked);
        picked.aliveIndex = index;
        return picked;
    }

    void add(Peer peer) {
        peers.put(peer.descriptor.name(), peer);
    }

    void remove(Peer peer) {
        peers.remove(peer.descriptor.name(), peer);
        updatePresence(peer, false, false);
        digest ^= peer.digest;
    }

    /** Updates the count of present peers and the list of alive peers after a peer's state has changed. */
    void updatePresence(Peer peer) {
        updatePresence(peer, peer.state.isPresent(), peer.state == PeerState.ALIVE);
    }

    /** Updates the digest after a peer's descriptor or state has changed. */
    void updateDigest(Peer peer) {
        digest ^= peer.digest;
        peer.digest = peer.state.isPresent() ? PeerDigest.of(peer.descriptor, peer.state) : 0;
        digest ^= peer.digest;
    }

    private void updatePresence(Peer peer, boolean present, boolean alive) {
        if (present != peer.countedAsPresent) {
            presentPeers += present ? 1 : -1;
            peer.countedAsPresent = present;
        }
        if (alive && peer.aliveIndex < 0) {
            peer.aliveIndex = alivePeers.size();
            alivePeers.add(peer);
        } else if (!alive && peer.aliveIndex >= 0) {
            removeAlive(peer);
        }
    }

    private void removeAlive(Peer peer) {
        Peer last = alivePeers.remove(alivePeers.size() - 1);
        if (last != peer) {
            alivePeers.set(peer.aliveIndex, last);
            last.aliveIndex = peer.aliveIndex;
        }
        peer.aliveIndex = -1;
    }
}

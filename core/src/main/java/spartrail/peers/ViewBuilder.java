package spartrail.peers;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import spartrail.peers.MembershipView.Confidence;
import spartrail.peers.MembershipView.Entry;

/** Builds the membership view. Iterates over all peers, and over all of them again for each contact. */
final class ViewBuilder {
    /**
     * An acknowledgement stays fresh for this number of rounds times the number of peers; in as many rounds as there
     * are peers each is probed once on average.
     */
    private static final int FRESH_ROUNDS = 4;

    private static final int MIN_PEERS_FOR_FRESHNESS = 4;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final ContactList contacts;
    private final LocalHealth health;

    ViewBuilder(MembershipContext context, LocalPeer local, PeerTable table, ContactList contacts, LocalHealth health) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.contacts = contacts;
        this.health = health;
    }

    MembershipView build(double atMs) {
        String healthProblem = health.describeProblem();
        boolean isHealthy = healthProblem.isEmpty();
        List<Entry> entries = new ArrayList<>();
        entries.add(buildLocalEntry(atMs));
        int minCount = 1;
        int maxCount = 1;
        for (Peer peer : table.peers()) {
            entries.add(buildEntry(peer, isHealthy, atMs));
            if (peer.state == PeerState.ALIVE && isHealthy) {
                minCount++;
            }
            if (peer.state != PeerState.LEFT) {
                maxCount++;
            }
        }
        entries.sort(Comparator.comparing(entry -> entry.descriptor().name()));
        return new MembershipView(
                local.name(),
                local.state(),
                healthProblem,
                atMs,
                table.presentCount(),
                minCount,
                maxCount + contacts.unknownCount(),
                List.copyOf(entries),
                context.counters());
    }

    private Entry buildLocalEntry(double atMs) {
        return new Entry(
                local.descriptor(),
                local.state(),
                local.startedMs(),
                local.name(),
                Confidence.DIRECT,
                atMs,
                "this node");
    }

    private Entry buildEntry(Peer peer, boolean isHealthy, double atMs) {
        return new Entry(
                peer.descriptor,
                peer.state,
                peer.stateSinceMs,
                peer.reporter,
                assessConfidence(peer, isHealthy, atMs),
                peer.lastAckMs,
                peer.reason);
    }

    private Confidence assessConfidence(Peer peer, boolean isHealthy, double atMs) {
        if (peer.state == PeerState.SUSPECT || !isHealthy) {
            return Confidence.LOW;
        }
        double freshMs =
                FRESH_ROUNDS * context.timings().probeIntervalMs() * Math.max(MIN_PEERS_FOR_FRESHNESS, table.size());
        return atMs - peer.lastAckMs < freshMs ? Confidence.DIRECT : Confidence.REPORTED;
    }
}

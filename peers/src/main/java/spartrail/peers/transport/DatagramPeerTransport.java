package spartrail.peers.transport;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerTransport;

/** Exchanges gossip messages in UDP datagrams, as configured in the peers file. */
public final class DatagramPeerTransport implements PeerTransport {
    @Override
    public void check(Path file) {
        PeersFile.read(file);
    }

    @Override
    public Running start(
            Path file, Path history, long maxHistoryBytes, Consumer<MembershipView> views, List<PeerChannel> channels)
            throws IOException {
        PeersConfig config = PeersFile.read(file);
        MembershipHistory recorded = history == null ? null : new MembershipHistory(history, maxHistoryBytes);
        return new GossipNode(config, recorded, views, channels);
    }
}

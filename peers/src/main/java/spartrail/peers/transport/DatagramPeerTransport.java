package spartrail.peers.transport;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerTransport;

/** Talk over datagrams, as the peers' file says. */
public final class DatagramPeerTransport implements PeerTransport {
    @Override
    public void check(Path file) {
        PeersFile.read(file);
    }

    @Override
    public Running start(
            Path file, Path history, long historyBytes, Consumer<MembershipView> views, List<PeerChannel> lanes)
            throws IOException {
        return new GossipNode(
                PeersFile.read(file),
                history == null ? null : new MembershipHistory(history, historyBytes),
                views,
                lanes);
    }
}

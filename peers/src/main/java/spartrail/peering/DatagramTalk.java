package spartrail.peering;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;
import spartrail.peers.PeerLane;
import spartrail.peers.PeerTalk;
import spartrail.peers.PeersView;

/** Talk over datagrams, as the peers' file says. */
public final class DatagramTalk implements PeerTalk {
    @Override
    public void check(Path file) {
        PeersFile.read(file);
    }

    @Override
    public Running start(Path file, Path history, long historyBytes, Consumer<PeersView> views, List<PeerLane> lanes)
            throws IOException {
        return new TalkingNode(
                PeersFile.read(file), history == null ? null : new History(history, historyBytes), views, lanes);
    }
}

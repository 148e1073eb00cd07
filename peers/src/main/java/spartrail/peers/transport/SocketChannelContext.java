package spartrail.peers.transport;

import java.util.Map;
import spartrail.peers.PeerChannel;

/** The transport as one channel sees it; may be used from any thread. */
final class SocketChannelContext implements PeerChannel.Context {
    private final PeersConfig config;
    private final int channel;
    private final GossipSocket socket;
    private final MembershipHistory history;

    SocketChannelContext(PeersConfig config, int channel, GossipSocket socket, MembershipHistory history) {
        this.config = config;
        this.channel = channel;
        this.socket = socket;
        this.history = history;
    }

    @Override
    public String nodeName() {
        return config.name();
    }

    @Override
    public String fleetName() {
        return config.fleet();
    }

    @Override
    public boolean isOperator(String address) {
        return config.operators().test(address);
    }

    @Override
    public Map<?, ?> section(String name) {
        return config.section(name);
    }

    @Override
    public void send(String address, byte[] bytes) {
        if (config.allowed().test(address) || config.operators().test(address)) {
            byte[] frame = DatagramFrame.encodeBytes(config.fleet(), channel, bytes);
            socket.send(frame, SocketAddresses.parse(address));
        }
    }

    @Override
    public void recordEvent(String event, Map<String, ?> fields) {
        if (history != null) {
            history.recordChannelEvent(event, config.name(), fields);
        }
    }
}

package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spartrail.peers.Incarnation;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerState;
import spartrail.peers.PeerUpdate;

/** Checks that datagrams keep the format of earlier versions, since nodes of several versions run in one fleet. */
class DatagramFormTest {
    private static final String FLEET = "recife";
    private static final int POLICY_CHANNEL = 3;
    private static final PeerDescriptor SENDER = new PeerDescriptor(
            "n1", "10.0.0.1:7400", "zone-a", 1.5, "0.2.1", "v7", new Incarnation(1_700_000_000_123L, -5), 3);
    private static final PeerDescriptor OTHER = new PeerDescriptor(
            "n2", "10.0.0.2:7401", "zone-b", 2, "0.2.2", "v8", new Incarnation(1_700_000_000_999L, 77), 9);
    private static final PeerDescriptor THIRD = new PeerDescriptor(
            "n3", "10.0.0.3:7402", "", 0.25, "", "", new Incarnation(1_700_000_001_000L, Integer.MIN_VALUE), 0);
    /** One update for each state, in the order of the constants. */
    private static final List<PeerUpdate> UPDATES = List.of(
            new PeerUpdate(OTHER, PeerState.JOINING, 0, ""),
            new PeerUpdate(OTHER, PeerState.ALIVE, 17.25, ""),
            new PeerUpdate(THIRD, PeerState.SUSPECT, 1e9, "n1"),
            new PeerUpdate(THIRD, PeerState.GONE, 250, "n2"),
            new PeerUpdate(SENDER, PeerState.LEFT, 0.1, ""));

    private static PeerMessage createMessage(
            PeerMessage.Kind kind, PeerState state, PeerDescriptor target, List<PeerUpdate> updates) {
        return new PeerMessage(kind, SENDER, state, 1234.5, "n2", 0x1122_3344_5566_7788L, -3L, target, updates);
    }

    /** Creates a message of each kind, from a sender in each state, by the names of the lines in datagrams.txt. */
    private static Map<String, PeerMessage> createMessages() {
        Map<String, PeerMessage> messages = new LinkedHashMap<>();
        messages.put("ping", createMessage(PeerMessage.Kind.PING, PeerState.JOINING, null, UPDATES));
        messages.put("ack", createMessage(PeerMessage.Kind.ACK, PeerState.ALIVE, null, List.of()));
        messages.put(
                "ask", createMessage(PeerMessage.Kind.PING_REQUEST, PeerState.SUSPECT, OTHER, UPDATES.subList(2, 3)));
        messages.put("found", createMessage(PeerMessage.Kind.INDIRECT_ACK, PeerState.GONE, OTHER, List.of()));
        messages.put("not-found", createMessage(PeerMessage.Kind.INDIRECT_NACK, PeerState.LEFT, THIRD, List.of()));
        return messages;
    }

    private static String toHex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static DatagramFrame decodeFrame(String hex) throws Exception {
        byte[] bytes = HexFormat.of().parseHex(hex);
        return DatagramFrame.decode(bytes, bytes.length, FLEET, DatagramFrame.MAX_BYTES);
    }

    @Test
    void messagesOfEachKindAreEncodedAsStored() throws Exception {
        List<String> encoded = new ArrayList<>();
        createMessages()
                .forEach((name, message) -> encoded.add(name + " " + toHex(PeerMessageCodec.encode(FLEET, message))));
        assertThat(encoded).isEqualTo(StoredForms.readLines("datagrams.txt"));
        assertThat(createMessages().values()).extracting(PeerMessage::kind).containsExactly(PeerMessage.Kind.values());
    }

    @Test
    void storedMessagesOfEachKindAreDecoded() throws Exception {
        Map<String, PeerMessage> decoded = new LinkedHashMap<>();
        for (Map.Entry<String, String> stored :
                StoredForms.readNamedLines("datagrams.txt").entrySet()) {
            decoded.put(stored.getKey(), PeerMessageCodec.decode(decodeFrame(stored.getValue())));
        }
        assertThat(decoded).isEqualTo(createMessages());
    }

    @Test
    void framesOfOtherChannelsAreEncodedAndDecodedAsStored() throws Exception {
        Map<String, String> stored = StoredForms.readNamedLines("lanes.txt");
        byte[] policy = {0, 1, -1, 127, -128};
        assertThat(toHex(DatagramFrame.encodeText(FLEET, DatagramFrame.ADMIN_REQUEST_CHANNEL, "show 0")))
                .isEqualTo(stored.get("question"));
        assertThat(toHex(DatagramFrame.encodeText(FLEET, DatagramFrame.ADMIN_RESPONSE_CHANNEL, "{\"next\":-1}")))
                .isEqualTo(stored.get("reply"));
        assertThat(toHex(DatagramFrame.encodeBytes(FLEET, POLICY_CHANNEL, policy)))
                .isEqualTo(stored.get("policy"));

        assertThat(decodeFrame(stored.get("question")).payload()).isEqualTo("show 0");
        assertThat(decodeFrame(stored.get("question")).channel()).isEqualTo(DatagramFrame.ADMIN_REQUEST_CHANNEL);
        assertThat(decodeFrame(stored.get("reply")).channel()).isEqualTo(DatagramFrame.ADMIN_RESPONSE_CHANNEL);
        assertThat(decodeFrame(stored.get("policy")).channel()).isEqualTo(POLICY_CHANNEL);
        assertThat(decodeFrame(stored.get("policy")).payloadBytes()).isEqualTo(policy);
    }
}

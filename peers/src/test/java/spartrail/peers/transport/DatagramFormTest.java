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

/** Datagrams among nodes keep the bytes of earlier versions, with which they have to mix. */
class DatagramFormTest {
    private static final String FLEET = "recife";
    private static final int POLICY_LANE = 3;
    private static final PeerDescriptor SENDER = new PeerDescriptor(
            "n1", "10.0.0.1:7400", "zone-a", 1.5, "0.2.1", "v7", new Incarnation(1_700_000_000_123L, -5), 3);
    private static final PeerDescriptor OTHER = new PeerDescriptor(
            "n2", "10.0.0.2:7401", "zone-b", 2, "0.2.2", "v8", new Incarnation(1_700_000_000_999L, 77), 9);
    private static final PeerDescriptor THIRD = new PeerDescriptor(
            "n3", "10.0.0.3:7402", "", 0.25, "", "", new Incarnation(1_700_000_001_000L, Integer.MIN_VALUE), 0);
    /** One word for each standing, in the order of their numbers. */
    private static final List<PeerUpdate> WORDS = List.of(
            new PeerUpdate(OTHER, PeerState.JOINING, 0, ""),
            new PeerUpdate(OTHER, PeerState.ALIVE, 17.25, ""),
            new PeerUpdate(THIRD, PeerState.SUSPECT, 1e9, "n1"),
            new PeerUpdate(THIRD, PeerState.GONE, 250, "n2"),
            new PeerUpdate(SENDER, PeerState.LEFT, 0.1, ""));

    private static PeerMessage message(
            PeerMessage.Kind kind, PeerState standing, PeerDescriptor about, List<PeerUpdate> words) {
        return new PeerMessage(kind, SENDER, standing, 1234.5, "n2", 0x1122_3344_5566_7788L, -3L, about, words);
    }

    /** A message of each kind, from a sender of each standing, by the names of the stored lines. */
    private static Map<String, PeerMessage> messages() {
        Map<String, PeerMessage> messages = new LinkedHashMap<>();
        messages.put("ping", message(PeerMessage.Kind.PING, PeerState.JOINING, null, WORDS));
        messages.put("ack", message(PeerMessage.Kind.ACK, PeerState.ALIVE, null, List.of()));
        messages.put("ask", message(PeerMessage.Kind.PING_REQUEST, PeerState.SUSPECT, OTHER, WORDS.subList(2, 3)));
        messages.put("found", message(PeerMessage.Kind.INDIRECT_ACK, PeerState.GONE, OTHER, List.of()));
        messages.put("not-found", message(PeerMessage.Kind.INDIRECT_NACK, PeerState.LEFT, THIRD, List.of()));
        return messages;
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static DatagramFrame frame(String hex) throws Exception {
        byte[] bytes = HexFormat.of().parseHex(hex);
        return DatagramFrame.decode(bytes, bytes.length, FLEET, DatagramFrame.MAX_BYTES);
    }

    @Test
    void messagesOfEachKindAreWrittenAsStored() throws Exception {
        List<String> written = new ArrayList<>();
        messages().forEach((name, message) -> written.add(name + " " + hex(PeerMessageCodec.encode(FLEET, message))));
        assertThat(written).isEqualTo(StoredForms.lines("datagrams.txt"));
        assertThat(messages().values()).extracting(PeerMessage::kind).containsExactly(PeerMessage.Kind.values());
    }

    @Test
    void storedMessagesOfEachKindAreRead() throws Exception {
        Map<String, PeerMessage> read = new LinkedHashMap<>();
        for (Map.Entry<String, String> stored :
                StoredForms.named("datagrams.txt").entrySet()) {
            read.put(stored.getKey(), PeerMessageCodec.decode(frame(stored.getValue())));
        }
        assertThat(read).isEqualTo(messages());
    }

    @Test
    void textsAndBytesOfOtherLanesAreWrittenAndReadAsStored() throws Exception {
        Map<String, String> stored = StoredForms.named("lanes.txt");
        byte[] policy = {0, 1, -1, 127, -128};
        assertThat(hex(DatagramFrame.encodeText(FLEET, DatagramFrame.ADMIN_REQUEST_CHANNEL, "show 0")))
                .isEqualTo(stored.get("question"));
        assertThat(hex(DatagramFrame.encodeText(FLEET, DatagramFrame.ADMIN_RESPONSE_CHANNEL, "{\"next\":-1}")))
                .isEqualTo(stored.get("reply"));
        assertThat(hex(DatagramFrame.encodeBytes(FLEET, POLICY_LANE, policy))).isEqualTo(stored.get("policy"));

        assertThat(frame(stored.get("question")).payload()).isEqualTo("show 0");
        assertThat(frame(stored.get("question")).channel()).isEqualTo(DatagramFrame.ADMIN_REQUEST_CHANNEL);
        assertThat(frame(stored.get("reply")).channel()).isEqualTo(DatagramFrame.ADMIN_RESPONSE_CHANNEL);
        assertThat(frame(stored.get("policy")).channel()).isEqualTo(POLICY_LANE);
        assertThat(frame(stored.get("policy")).payloadBytes()).isEqualTo(policy);
    }
}

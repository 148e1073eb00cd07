package spartrail.peering;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import spartrail.peers.Card;
import spartrail.peers.Life;
import spartrail.peers.Message;
import spartrail.peers.Standing;
import spartrail.peers.Word;

/** Datagrams among nodes keep the bytes of earlier versions, with which they have to mix. */
class DatagramFormTest {
    private static final String FLEET = "recife";
    private static final int POLICY_LANE = 3;
    private static final Card SENDER =
            new Card("n1", "10.0.0.1:7400", "zone-a", 1.5, "0.2.1", "v7", new Life(1_700_000_000_123L, -5), 3);
    private static final Card OTHER =
            new Card("n2", "10.0.0.2:7401", "zone-b", 2, "0.2.2", "v8", new Life(1_700_000_000_999L, 77), 9);
    private static final Card THIRD =
            new Card("n3", "10.0.0.3:7402", "", 0.25, "", "", new Life(1_700_000_001_000L, Integer.MIN_VALUE), 0);
    /** One word for each standing, in the order of their numbers. */
    private static final List<Word> WORDS = List.of(
            new Word(OTHER, Standing.JOINING, 0, ""),
            new Word(OTHER, Standing.ALIVE, 17.25, ""),
            new Word(THIRD, Standing.SUSPECT, 1e9, "n1"),
            new Word(THIRD, Standing.GONE, 250, "n2"),
            new Word(SENDER, Standing.LEFT, 0.1, ""));

    private static Message message(Message.Kind kind, Standing standing, Card about, List<Word> words) {
        return new Message(kind, SENDER, standing, 1234.5, "n2", 0x1122_3344_5566_7788L, -3L, about, words);
    }

    /** A message of each kind, from a sender of each standing, by the names of the stored lines. */
    private static Map<String, Message> messages() {
        Map<String, Message> messages = new LinkedHashMap<>();
        messages.put("ping", message(Message.Kind.PING, Standing.JOINING, null, WORDS));
        messages.put("ack", message(Message.Kind.ACK, Standing.ALIVE, null, List.of()));
        messages.put("ask", message(Message.Kind.ASK, Standing.SUSPECT, OTHER, WORDS.subList(2, 3)));
        messages.put("found", message(Message.Kind.FOUND, Standing.GONE, OTHER, List.of()));
        messages.put("not-found", message(Message.Kind.NOT_FOUND, Standing.LEFT, THIRD, List.of()));
        return messages;
    }

    private static String hex(byte[] bytes) {
        return HexFormat.of().formatHex(bytes);
    }

    private static Frames.Frame frame(String hex) throws Exception {
        byte[] bytes = HexFormat.of().parseHex(hex);
        return Frames.read(bytes, bytes.length, FLEET, Frames.MOST_BYTES);
    }

    @Test
    void messagesOfEachKindAreWrittenAsStored() throws Exception {
        List<String> written = new ArrayList<>();
        messages().forEach((name, message) -> written.add(name + " " + hex(Frames.peers(FLEET, message))));
        assertThat(written).isEqualTo(StoredForms.lines("datagrams.txt"));
        assertThat(messages().values()).extracting(Message::kind).containsExactly(Message.Kind.values());
    }

    @Test
    void storedMessagesOfEachKindAreRead() throws Exception {
        Map<String, Message> read = new LinkedHashMap<>();
        for (Map.Entry<String, String> stored :
                StoredForms.named("datagrams.txt").entrySet()) {
            read.put(stored.getKey(), frame(stored.getValue()).message());
        }
        assertThat(read).isEqualTo(messages());
    }

    @Test
    void textsAndBytesOfOtherLanesAreWrittenAndReadAsStored() throws Exception {
        Map<String, String> stored = StoredForms.named("lanes.txt");
        byte[] policy = {0, 1, -1, 127, -128};
        assertThat(hex(Frames.text(FLEET, Frames.QUESTION, "show 0"))).isEqualTo(stored.get("question"));
        assertThat(hex(Frames.text(FLEET, Frames.REPLY, "{\"next\":-1}"))).isEqualTo(stored.get("reply"));
        assertThat(hex(Frames.bytes(FLEET, POLICY_LANE, policy))).isEqualTo(stored.get("policy"));

        assertThat(frame(stored.get("question")).values().get(3)).isEqualTo("show 0");
        assertThat(frame(stored.get("question")).lane()).isEqualTo(Frames.QUESTION);
        assertThat(frame(stored.get("reply")).lane()).isEqualTo(Frames.REPLY);
        assertThat(frame(stored.get("policy")).lane()).isEqualTo(POLICY_LANE);
        assertThat(frame(stored.get("policy")).bytes()).isEqualTo(policy);
    }
}

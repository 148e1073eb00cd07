package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import spartrail.peers.Incarnation;
import spartrail.peers.MembershipView;
import spartrail.peers.MembershipView.Confidence;
import spartrail.peers.MembershipView.Entry;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerState;

/**
 * Checks that replies to operators keep the format of earlier versions: an operator's tool may be of another version.
 */
class ReplyFormTest {
    private static Entry createEntry(int number, PeerState state, Confidence confidence, double lastAckMs) {
        PeerDescriptor descriptor = new PeerDescriptor(
                "n" + number,
                "10.0.0." + number + ":7400",
                "zone-a",
                1.5,
                "0.2.1",
                "v7",
                new Incarnation(1_700_000_000_000L + number, -5),
                number);
        return new Entry(descriptor, state, 1000.25, "n9", confidence, lastAckMs, "accused by n9");
    }

    private static final MembershipView VIEW = new MembershipView(
            "n1",
            PeerState.ALIVE,
            "it gets no answers",
            2000.5,
            3,
            2,
            4,
            List.of(
                    createEntry(1, PeerState.ALIVE, Confidence.DIRECT, 2000.5),
                    createEntry(2, PeerState.JOINING, Confidence.REPORTED, Double.NaN),
                    createEntry(3, PeerState.SUSPECT, Confidence.LOW, 1500),
                    createEntry(4, PeerState.GONE, Confidence.REPORTED, Double.NaN),
                    createEntry(5, PeerState.LEFT, Confidence.REPORTED, 500)),
            Map.of("refuted", 2L, "stood still", 1L));

    private static Optional<String> reply(String request) {
        return MembershipStatusReplies.reply(request, VIEW, Map.of("bytes sent", 123L, "datagrams received", 45L));
    }

    @Test
    void eachPageOfTheReplyIsWrittenAsStored() throws IOException {
        List<String> written = new ArrayList<>();
        for (String request : List.of("show 0", "show 1", "show 5", "show 6")) {
            written.add(reply(request).orElseThrow());
        }
        assertThat(written).isEqualTo(StoredForms.readLines("replies.jsonl"));
    }

    @Test
    void unknownRequestsGetNoReply() {
        for (String request : List.of("", "show", "show -1", "show 100000", "show 0 1", "list 0")) {
            assertThat(reply(request)).as(request).isEmpty();
        }
    }
}

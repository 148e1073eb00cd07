package spartrail.peers.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.peers.Incarnation;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;
import spartrail.peers.PeerState;

/** Checks that history lines keep the format of earlier versions, for the tools and people that read them. */
class HistoryFormTest {
    private static final PeerDescriptor SELF = new PeerDescriptor(
            "n1", "10.0.0.1:7400", "zone-a", 1.5, "0.2.1", "v7", new Incarnation(1_700_000_000_123L, -5), 3);
    private static final PeerDescriptor OTHER = new PeerDescriptor(
            "n2", "10.0.0.2:7401", "zone-b", 2, "0.2.2", "v8", new Incarnation(1_700_000_000_999L, 77), 9);

    @TempDir
    private Path folder;

    private static MembershipView createView(PeerState state, String healthProblem) {
        return new MembershipView("n1", state, healthProblem, 1234.5, 5, 4, 6, List.of(), Map.of("refuted", 2L));
    }

    private static PeerEvent createEvent(PeerState previousState, PeerState newState, String healthProblem) {
        return new PeerEvent(1234.5, OTHER, previousState, newState, "n3", "accused by n1, n3", healthProblem);
    }

    @Test
    void eachTypeOfHistoryLineIsWrittenAsStored() throws Exception {
        Path file = folder.resolve("n1.history");
        try (MembershipHistory history = new MembershipHistory(file, 1 << 20)) {
            history.recordIncarnation(SELF);
            PeerState previousState = null;
            for (PeerState state : PeerState.values()) {
                history.recordChange(
                        createView(state, ""), createEvent(previousState, state, "it runs late, by 40 ms on average"));
                history.recordView(createView(state, "it gets no answers"));
                previousState = state;
            }
            history.recordChange(createView(PeerState.ALIVE, ""), createEvent(previousState, null, ""));
            history.recordView(createView(PeerState.ALIVE, ""));
            Map<String, Object> fields = new LinkedHashMap<>();
            fields.put("text", "a \"quoted\" text");
            fields.put("number", 7L);
            fields.put("decimal", 0.5);
            fields.put("flag", true);
            history.recordChannelEvent("leads", "n1", fields);
        }
        List<String> written = Files.readAllLines(file).stream()
                .map(line -> line.replaceFirst("^\\{\"ns\":-?[0-9]+,", "{\"ns\":0,"))
                .toList();
        assertThat(written).isEqualTo(StoredForms.readLines("history.jsonl"));
    }
}

package spartrail.policy.replication;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import io.microraft.model.log.LogEntry;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.policy.LogOperation;

class RaftLogStoreTest {
    @TempDir
    private Path folder;

    private Path file;

    private final Logger quiet = Logger.getLogger("spartrail.policy");

    @BeforeEach
    void bootstrap() throws IOException {
        quiet.setLevel(Level.OFF);
        RaftLogStore.bootstrap(folder, "recife", "n0", List.of("n0", "n1", "n2"));
        file = folder.resolve("policy.log");
    }

    private static LogEntry entry(long index, String text) {
        return LogEntryCodec.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(new LogOperation(LogOperation.Kind.PROPOSE, 0, text, "first", "t"))
                .build();
    }

    private void fill() throws IOException {
        try (RaftLogStore store = new RaftLogStore(folder, "recife", "n0")) {
            store.persistAndFlushLocalEndpoint(LogEntryCodec.MODEL
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(new Voter("n0"))
                    .setVoting(true)
                    .build());
            store.persistAndFlushInitialGroupMembers(LogEntryCodec.MODEL
                    .createRaftGroupMembersViewBuilder()
                    .setLogIndex(0)
                    .setMembers(Voter.endpoints(store.voters()))
                    .setVotingMembers(Voter.endpoints(store.voters()))
                    .build());
            store.persistAndFlushTerm(LogEntryCodec.MODEL
                    .createRaftTermPersistentStateBuilder()
                    .setTerm(2)
                    .setVotedFor(new Voter("n1"))
                    .build());
            store.persistLogEntries(List.of(entry(1, "a"), entry(2, "b"), entry(3, "c")));
            store.truncateLogEntriesFrom(3);
            store.persistLogEntries(List.of(entry(3, "d")));
            store.flush();
        }
    }

    private String read() throws IOException {
        try (RaftLogStore store = new RaftLogStore(folder, "recife", "n0")) {
            RestoredRaftState state = store.restored();
            return state == null
                    ? "nothing"
                    : state.getTermPersistentState().getTerm() + " "
                            + Voter.nameOf(state.getTermPersistentState().getVotedFor()) + " "
                            + state.getLogEntries().stream()
                                    .map(entry -> entry.getIndex() + ((LogOperation) entry.getOperation()).text())
                                    .collect(Collectors.joining(" "));
        }
    }

    @Test
    void whatWasKeptIsThereAgain() throws IOException {
        assertThat(read()).isEqualTo("nothing");
        fill();
        assertThat(read()).isEqualTo("2 n1 1a 2b 3d");
    }

    /** A crash in the middle of a write leaves the beginning of a record: it is cut off, and what came before is there. */
    @Test
    void cutAtEachByteItHoldsTheWholeRecordsBeforeAndNothingElse() throws IOException {
        fill();
        byte[] all = Files.readAllBytes(file);
        String seen = "";
        int changes = 0;
        for (int length = 0; length < all.length; length++) {
            Files.write(file, Arrays.copyOf(all, length));
            String now;
            try {
                now = read();
                assertThat(Files.size(file)).as("a torn tail is cut off").isLessThanOrEqualTo(length);
            } catch (IOException e) {
                now = "refused";
            }
            changes += now.equals(seen) ? 0 : 1;
            seen = now;
        }
        // Refused without its head; nothing; and then one more at each entry, and one less where one was taken back.
        assertThat(changes).isEqualTo(7);
    }

    /** It may have been synced, and a word given on it. */
    @Test
    void flippedAtAnyByteItIsRefused() throws IOException {
        fill();
        byte[] all = Files.readAllBytes(file);
        for (int at = 0; at < all.length; at++) {
            byte[] corrupted = all.clone();
            corrupted[at] ^= 0x10;
            Files.write(file, corrupted);
            assertThatThrownBy(this::read)
                    .as("byte " + at)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("is corrupt");
            assertThat(file).as("what is refused stays as it was").hasBinaryContent(corrupted);
        }
    }

    @Test
    void aFolderOfAnotherNodeOrFleetOrInUseIsRefused() throws IOException {
        assertThatThrownBy(() -> new RaftLogStore(folder, "recife", "n1"))
                .hasMessage(file + ": is that of n0 in recife, found by n1 in recife");
        assertThatThrownBy(() -> new RaftLogStore(folder, "macon", "n0"))
                .hasMessage(file + ": is that of n0 in recife, found by n0 in macon");
        assertThatThrownBy(() -> RaftLogStore.bootstrap(folder, "recife", "n0", List.of("n0")))
                .hasMessage(file + ": is there already");
        Files.writeString(file, "{\"fleet\": \"recife\", \"what\": \"something else\"}");
        assertThatThrownBy(() -> new RaftLogStore(folder, "recife", "n0")).hasMessageContaining("corrupt");
    }

    @Test
    void piecesMakeTheMessageWholeInAnyOrderAndOnlyWhole() {
        byte[] message = new byte[5000];
        new java.util.Random(3).nextBytes(message);
        DatagramSplitter from = new DatagramSplitter(1100, 7);
        DatagramReassembler to = new DatagramReassembler();
        List<byte[]> pieces = from.split(message);
        assertThat(pieces).hasSize(5);
        for (int i : new int[] {3, 0, 4, 4, 1}) {
            assertThat(to.add("a", pieces.get(i))).isNull();
        }
        assertThat(to.add("b", pieces.get(2))).isNull();
        assertThat(to.add("a", pieces.get(2))).isEqualTo(message);
        for (int i = 0; i < 1000; i++) {
            to.add("a", from.split(message).get(0));
        }
        assertThat(to.add("a", new byte[] {1, 2})).isNull();
    }
}

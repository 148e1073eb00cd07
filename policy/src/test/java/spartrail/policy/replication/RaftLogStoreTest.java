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

    private final Logger logger = Logger.getLogger("spartrail.policy");

    @BeforeEach
    void bootstrap() throws IOException {
        logger.setLevel(Level.OFF);
        RaftLogStore.bootstrap(folder, "recife", "n0", List.of("n0", "n1", "n2"));
        file = folder.resolve("policy.log");
    }

    private static LogEntry newEntry(long index, String text) {
        return LogEntryCodec.MODEL
                .createLogEntryBuilder()
                .setIndex(index)
                .setTerm(2)
                .setOperation(new LogOperation(LogOperation.Kind.PROPOSE, 0, text, "first", "t"))
                .build();
    }

    private void writeEntries() throws IOException {
        try (RaftLogStore store = new RaftLogStore(folder, "recife", "n0")) {
            store.persistAndFlushLocalEndpoint(LogEntryCodec.MODEL
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(new Voter("n0"))
                    .setVoting(true)
                    .build());
            store.persistAndFlushInitialGroupMembers(LogEntryCodec.MODEL
                    .createRaftGroupMembersViewBuilder()
                    .setLogIndex(0)
                    .setMembers(Voter.endpointsOf(store.voters()))
                    .setVotingMembers(Voter.endpointsOf(store.voters()))
                    .build());
            store.persistAndFlushTerm(LogEntryCodec.MODEL
                    .createRaftTermPersistentStateBuilder()
                    .setTerm(2)
                    .setVotedFor(new Voter("n1"))
                    .build());
            store.persistLogEntries(List.of(newEntry(1, "a"), newEntry(2, "b"), newEntry(3, "c")));
            store.truncateLogEntriesFrom(3);
            store.persistLogEntries(List.of(newEntry(3, "d")));
            store.flush();
        }
    }

    private String describeRestored() throws IOException {
        try (RaftLogStore store = new RaftLogStore(folder, "recife", "n0")) {
            RestoredRaftState restored = store.restoredState();
            return restored == null
                    ? "nothing"
                    : restored.getTermPersistentState().getTerm() + " "
                            + Voter.nameOf(restored.getTermPersistentState().getVotedFor()) + " "
                            + restored.getLogEntries().stream()
                                    .map(entry -> entry.getIndex() + ((LogOperation) entry.getOperation()).text())
                                    .collect(Collectors.joining(" "));
        }
    }

    @Test
    void stateIsRestoredAfterTheStoreIsReopened() throws IOException {
        assertThat(describeRestored()).isEqualTo("nothing");
        writeEntries();
        assertThat(describeRestored()).isEqualTo("2 n1 1a 2b 3d");
    }

    /** A crash during a write leaves an incomplete record: it is cut off, and the records before it are restored. */
    @Test
    void aFileCutAtAnyByteRestoresOnlyTheCompleteRecordsBeforeTheCut() throws IOException {
        writeEntries();
        byte[] all = Files.readAllBytes(file);
        String previous = "";
        int changes = 0;
        for (int length = 0; length < all.length; length++) {
            Files.write(file, Arrays.copyOf(all, length));
            String state;
            try {
                state = describeRestored();
                assertThat(Files.size(file)).as("a torn tail is cut off").isLessThanOrEqualTo(length);
            } catch (IOException e) {
                state = "refused";
            }
            changes += state.equals(previous) ? 0 : 1;
            previous = state;
        }
        // The results in order: rejected without a header, no state, the term alone, entries up to a, b and c, and c
        // removed.
        assertThat(changes).isEqualTo(7);
    }

    /** A corrupt record may have been synced, and the voter may have made a promise that rests on it. */
    @Test
    void aFileWithACorruptByteIsRejected() throws IOException {
        writeEntries();
        byte[] all = Files.readAllBytes(file);
        for (int offset = 0; offset < all.length; offset++) {
            byte[] corrupted = all.clone();
            corrupted[offset] ^= 0x10;
            Files.write(file, corrupted);
            assertThatThrownBy(this::describeRestored)
                    .as("byte " + offset)
                    .isInstanceOf(IOException.class)
                    .hasMessageContaining("is corrupt");
            assertThat(file).as("a rejected file is not changed").hasBinaryContent(corrupted);
        }
    }

    @Test
    void aLogOfAnotherNodeOrFleetIsRejectedAndAnExistingOneIsNotOverwritten() throws IOException {
        assertThatThrownBy(() -> new RaftLogStore(folder, "recife", "n1"))
                .hasMessage(file + ": belongs to node n0 of fleet recife, opened by node n1 of fleet recife");
        assertThatThrownBy(() -> new RaftLogStore(folder, "macon", "n0"))
                .hasMessage(file + ": belongs to node n0 of fleet recife, opened by node n0 of fleet macon");
        assertThatThrownBy(() -> RaftLogStore.bootstrap(folder, "recife", "n0", List.of("n0")))
                .hasMessage(file + ": already exists");
        Files.writeString(file, "{\"fleet\": \"recife\", \"what\": \"something else\"}");
        assertThatThrownBy(() -> new RaftLogStore(folder, "recife", "n0")).hasMessageContaining("corrupt");
    }

    @Test
    void piecesAreReassembledInAnyOrderOnceAllHaveArrived() {
        byte[] message = new byte[5000];
        new java.util.Random(3).nextBytes(message);
        DatagramSplitter splitter = new DatagramSplitter(1100, 7);
        DatagramReassembler reassembler = new DatagramReassembler();
        List<byte[]> pieces = splitter.split(message);
        assertThat(pieces).hasSize(5);
        for (int i : new int[] {3, 0, 4, 4, 1}) {
            assertThat(reassembler.add("a", pieces.get(i))).isNull();
        }
        assertThat(reassembler.add("b", pieces.get(2))).isNull();
        assertThat(reassembler.add("a", pieces.get(2))).isEqualTo(message);
        for (int i = 0; i < 1000; i++) {
            reassembler.add("a", splitter.split(message).get(0));
        }
        assertThat(reassembler.add("a", new byte[] {1, 2})).isNull();
    }
}

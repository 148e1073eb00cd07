package spartrail.policy.replication;

import static org.assertj.core.api.Assertions.assertThat;

import io.microraft.model.log.LogEntry;
import io.microraft.model.log.SnapshotChunk;
import io.microraft.persistence.RestoredRaftState;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import spartrail.policy.LogOperation;

/** The log of policy on disk keeps its bytes: a file of an earlier version is read, and the same is written. */
class LogFileFormsTest {
    private static final String RESOURCE = "policy-log.txt";
    private static final String GROWN = "each kind of record";
    private static final String COMPACTED = "written anew";

    @TempDir
    private Path folder;

    private static byte[] stored(String name) throws IOException {
        return StoredForms.bytes(StoredForms.read(RESOURCE).getOrDefault(name, ""));
    }

    private Path folderWith(String name, byte[] file) throws IOException {
        Path made = Files.createDirectories(folder.resolve(name));
        Files.write(made.resolve("policy.log"), file);
        return made;
    }

    private static RaftLogStore open(Path folder) throws IOException {
        return new RaftLogStore(folder, "recife", "n0");
    }

    private Path bootstrapped(String name) throws IOException {
        Path made = folder.resolve(name);
        RaftLogStore.bootstrap(made, "recife", "n0", List.of("n0", "n1", "n2"));
        return made;
    }

    private static void writeTerm(RaftLogStore journal, int term, String votedFor) throws IOException {
        journal.persistAndFlushTerm(LogEntryCodec.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(Voter.endpointOrNull(votedFor))
                .build());
    }

    private static void writeEachKind(Path folder) throws IOException {
        try (RaftLogStore journal = open(folder)) {
            journal.persistAndFlushLocalEndpoint(LogEntryCodec.MODEL
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(new Voter("n0"))
                    .setVoting(true)
                    .build());
            journal.persistAndFlushInitialGroupMembers(MessageFormsTest.members());
            writeTerm(journal, 1, "");
            writeTerm(journal, 2, "n1");
            journal.persistLogEntries(MessageFormsTest.entries());
            journal.persistSnapshotChunk(MessageFormsTest.chunk(200, 0));
            journal.persistSnapshotChunk(MessageFormsTest.chunk(302, 0));
            journal.deleteSnapshotChunks(200, 1);
            journal.truncateLogEntriesFrom(309);
            journal.truncateLogEntriesUntil(302);
            journal.flush();
        }
    }

    @Test
    void recordsOfEachKindKeepTheirBytes() throws IOException {
        Path grown = bootstrapped("grown");
        writeEachKind(grown);
        byte[] seen = Files.readAllBytes(grown.resolve("policy.log"));
        StoredForms.writeSeen("policy-log-grown.txt", Map.of(GROWN, StoredForms.hex(seen)));
        assertThat(StoredForms.hex(seen)).isEqualTo(StoredForms.hex(stored(GROWN)));
    }

    @Test
    void aStoredLogIsReadWithItsSnapshot() throws IOException {
        try (RaftLogStore journal = open(folderWith("stored", stored(GROWN)))) {
            assertThat(journal.voters()).containsExactly("n0", "n1", "n2");
            RestoredRaftState state = journal.restored();
            assertThat(state.getTermPersistentState().getTerm()).isEqualTo(2);
            assertThat(Voter.nameOf(state.getTermPersistentState().getVotedFor()))
                    .isEqualTo("n1");
            assertThat(state.getLogEntries())
                    .extracting(LogEntry::getIndex)
                    .containsExactly(303L, 304L, 305L, 306L, 307L, 308L);
            assertThat(((LogOperation) state.getLogEntries().get(0).getOperation()).kind())
                    .isEqualTo(LogOperation.Kind.REFUSE);
            assertThat(state.getSnapshotEntry().getIndex()).isEqualTo(302);
        }
    }

    @Test
    void aStoredLogThatHasGrownLargeIsWrittenAnewWithTheSameBytes() throws IOException {
        Path grown = folderWith("grown", stored(GROWN));
        try (RaftLogStore journal = open(grown)) {
            LogOperation large = new LogOperation(LogOperation.Kind.PROPOSE, 0, "x".repeat(1 << 20), "ana", "t");
            journal.persistLogEntries(List.of(MessageFormsTest.entry(309, large)));
            journal.truncateLogEntriesFrom(309);
            journal.truncateLogEntriesUntil(302);
            journal.flush();
        }
        byte[] seen = Files.readAllBytes(grown.resolve("policy.log"));
        Map<String, String> forms = new LinkedHashMap<>();
        forms.put(COMPACTED, StoredForms.hex(seen));
        StoredForms.writeSeen("policy-log-compacted.txt", forms);
        assertThat(StoredForms.hex(seen)).isEqualTo(StoredForms.hex(stored(COMPACTED)));
    }

    @Test
    void aStoredLogThatIsReadAndWrittenAgainHasTheSameBytes() throws IOException {
        Path copy = bootstrapped("copy");
        try (RaftLogStore from = open(folderWith("stored", stored(COMPACTED)));
                RaftLogStore to = open(copy)) {
            RestoredRaftState state = from.restored();
            to.persistAndFlushLocalEndpoint(state.getLocalEndpointPersistentState());
            to.persistAndFlushInitialGroupMembers(state.getInitialGroupMembers());
            to.persistAndFlushTerm(state.getTermPersistentState());
            for (Object chunk : (List<?>) state.getSnapshotEntry().getOperation()) {
                to.persistSnapshotChunk((SnapshotChunk) chunk);
            }
            to.persistLogEntries(state.getLogEntries());
        }
        assertThat(StoredForms.hex(Files.readAllBytes(copy.resolve("policy.log"))))
                .isEqualTo(StoredForms.hex(stored(COMPACTED)));
    }
}

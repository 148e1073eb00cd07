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

/**
 * Guards the format of the policy log on disk: files of an earlier version are read, and the same bytes are written.
 */
class LogFileFormsTest {
    private static final String RESOURCE = "policy-log.txt";
    private static final String EACH_KIND = "each kind of record";
    private static final String COMPACTED = "written anew";

    @TempDir
    private Path folder;

    private static byte[] readStored(String name) throws IOException {
        return StoredForms.fromHex(StoredForms.read(RESOURCE).getOrDefault(name, ""));
    }

    private Path createFolder(String name, byte[] file) throws IOException {
        Path created = Files.createDirectories(folder.resolve(name));
        Files.write(created.resolve("policy.log"), file);
        return created;
    }

    private static RaftLogStore openStore(Path folder) throws IOException {
        return new RaftLogStore(folder, "recife", "n0");
    }

    private Path bootstrapFolder(String name) throws IOException {
        Path created = folder.resolve(name);
        RaftLogStore.bootstrap(created, "recife", "n0", List.of("n0", "n1", "n2"));
        return created;
    }

    private static void writeTerm(RaftLogStore store, int term, String votedFor) throws IOException {
        store.persistAndFlushTerm(LogEntryCodec.MODEL
                .createRaftTermPersistentStateBuilder()
                .setTerm(term)
                .setVotedFor(Voter.endpointOrNull(votedFor))
                .build());
    }

    private static void writeEachKind(Path folder) throws IOException {
        try (RaftLogStore store = openStore(folder)) {
            store.persistAndFlushLocalEndpoint(LogEntryCodec.MODEL
                    .createRaftEndpointPersistentStateBuilder()
                    .setLocalEndpoint(new Voter("n0"))
                    .setVoting(true)
                    .build());
            store.persistAndFlushInitialGroupMembers(MessageFormsTest.newMembers());
            writeTerm(store, 1, "");
            writeTerm(store, 2, "n1");
            store.persistLogEntries(MessageFormsTest.entriesOfEachKind());
            store.persistSnapshotChunk(MessageFormsTest.newChunk(200, 0));
            store.persistSnapshotChunk(MessageFormsTest.newChunk(302, 0));
            store.deleteSnapshotChunks(200, 1);
            store.truncateLogEntriesFrom(309);
            store.truncateLogEntriesUntil(302);
            store.flush();
        }
    }

    @Test
    void recordsOfEachKindAreWrittenInTheirStoredForm() throws IOException {
        Path grown = bootstrapFolder("grown");
        writeEachKind(grown);
        byte[] actual = Files.readAllBytes(grown.resolve("policy.log"));
        StoredForms.writeActual("policy-log-grown.txt", Map.of(EACH_KIND, StoredForms.toHex(actual)));
        assertThat(StoredForms.toHex(actual)).isEqualTo(StoredForms.toHex(readStored(EACH_KIND)));
    }

    @Test
    void aStoredLogIsRestoredWithItsSnapshot() throws IOException {
        try (RaftLogStore store = openStore(createFolder("stored", readStored(EACH_KIND)))) {
            assertThat(store.voters()).containsExactly("n0", "n1", "n2");
            RestoredRaftState state = store.restoredState();
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
    void aLargeStoredLogIsCompactedToItsStoredForm() throws IOException {
        Path grown = createFolder("grown", readStored(EACH_KIND));
        try (RaftLogStore store = openStore(grown)) {
            LogOperation large = new LogOperation(LogOperation.Kind.PROPOSE, 0, "x".repeat(1 << 20), "ana", "t");
            store.persistLogEntries(List.of(MessageFormsTest.newEntry(309, large)));
            store.truncateLogEntriesFrom(309);
            store.truncateLogEntriesUntil(302);
            store.flush();
        }
        byte[] actual = Files.readAllBytes(grown.resolve("policy.log"));
        Map<String, String> forms = new LinkedHashMap<>();
        forms.put(COMPACTED, StoredForms.toHex(actual));
        StoredForms.writeActual("policy-log-compacted.txt", forms);
        assertThat(StoredForms.toHex(actual)).isEqualTo(StoredForms.toHex(readStored(COMPACTED)));
    }

    @Test
    void aRestoredLogThatIsWrittenAgainHasTheSameBytes() throws IOException {
        Path copy = bootstrapFolder("copy");
        try (RaftLogStore from = openStore(createFolder("stored", readStored(COMPACTED)));
                RaftLogStore to = openStore(copy)) {
            RestoredRaftState state = from.restoredState();
            to.persistAndFlushLocalEndpoint(state.getLocalEndpointPersistentState());
            to.persistAndFlushInitialGroupMembers(state.getInitialGroupMembers());
            to.persistAndFlushTerm(state.getTermPersistentState());
            for (Object chunk : (List<?>) state.getSnapshotEntry().getOperation()) {
                to.persistSnapshotChunk((SnapshotChunk) chunk);
            }
            to.persistLogEntries(state.getLogEntries());
        }
        assertThat(StoredForms.toHex(Files.readAllBytes(copy.resolve("policy.log"))))
                .isEqualTo(StoredForms.toHex(readStored(COMPACTED)));
    }
}

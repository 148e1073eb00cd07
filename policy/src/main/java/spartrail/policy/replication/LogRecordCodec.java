package spartrail.policy.replication;

import static spartrail.policy.replication.LogEntryCodec.MODEL;

import io.microraft.model.persistence.RaftEndpointPersistentState;
import io.microraft.model.persistence.RaftTermPersistentState;
import spartrail.model.MalformedMessageException;

/** Encodes the log's records on disk: a CBOR array whose first value names the kind of record. */
final class LogRecordCodec {
    private static final int FORMAT_VERSION = 1;
    private static final String HEADER = "FIRST";
    private static final String LOCAL_ENDPOINT = "SELF";
    private static final String INITIAL_MEMBERS = "GROUP";
    private static final String TERM = "TERM";
    private static final String ENTRY = "ENTRY";
    private static final String TRUNCATE_FROM = "FROM";
    private static final String TRUNCATE_UNTIL = "UNTIL";
    private static final String CHUNK = "CHUNK";
    private static final String DELETE_SNAPSHOT = "DROP";

    private LogRecordCodec() {}

    /** The bytes of a record. */
    static byte[] encode(LogRecord record) {
        return CborArrayWriter.encode(out -> write(out, record));
    }

    private static void write(CborArrayWriter out, LogRecord record) {
        if (record instanceof LogRecord.Header header) {
            out.text(HEADER)
                    .number(FORMAT_VERSION)
                    .text(header.fleet())
                    .text(header.node())
                    .texts(header.voters());
        } else if (record instanceof LogRecord.LocalEndpoint endpoint) {
            out.text(LOCAL_ENDPOINT)
                    .text(Voter.nameOf(endpoint.state().getLocalEndpoint()))
                    .flag(endpoint.state().isVoting());
        } else if (record instanceof LogRecord.InitialMembers initial) {
            out.text(INITIAL_MEMBERS).array(members -> LogEntryCodec.writeMembers(members, initial.members()));
        } else if (record instanceof LogRecord.Term term) {
            out.text(TERM)
                    .number(term.state().getTerm())
                    .text(Voter.nameOf(term.state().getVotedFor()));
        } else if (record instanceof LogRecord.Entry added) {
            out.text(ENTRY).array(entry -> LogEntryCodec.writeEntry(entry, added.entry()));
        } else if (record instanceof LogRecord.TruncateFrom truncation) {
            out.text(TRUNCATE_FROM).number(truncation.index());
        } else if (record instanceof LogRecord.TruncateUntil truncation) {
            out.text(TRUNCATE_UNTIL).number(truncation.index());
        } else if (record instanceof LogRecord.Chunk added) {
            out.text(CHUNK).array(chunk -> LogEntryCodec.writeChunk(chunk, added.chunk()));
        } else if (record instanceof LogRecord.DeleteSnapshot deletion) {
            out.text(DELETE_SNAPSHOT).number(deletion.index());
        }
    }

    /** The header that these bytes encode. */
    static LogRecord.Header decodeHeader(byte[] bytes) throws MalformedMessageException {
        CborArrayReader in = CborArrayReader.of(bytes);
        if (!in.nextText().equals(HEADER)) {
            throw new MalformedMessageException("does not start with the header of a policy log");
        }
        int format = in.nextInt();
        if (format != FORMAT_VERSION) {
            throw new MalformedMessageException(
                    "has format version " + format + ", this program reads version " + FORMAT_VERSION);
        }
        return new LogRecord.Header(in.nextText(), in.nextText(), in.nextTexts());
    }

    /** The record that these bytes encode; not for a header. */
    static LogRecord decode(byte[] bytes) throws MalformedMessageException {
        CborArrayReader in = CborArrayReader.of(bytes);
        String kind = in.nextText();
        return switch (kind) {
            case LOCAL_ENDPOINT -> new LogRecord.LocalEndpoint(readLocalEndpoint(in));
            case INITIAL_MEMBERS -> new LogRecord.InitialMembers(LogEntryCodec.readMembers(in.nextArray()));
            case TERM -> new LogRecord.Term(readTerm(in));
            case ENTRY -> new LogRecord.Entry(LogEntryCodec.readEntry(in.nextArray()));
            case TRUNCATE_FROM -> new LogRecord.TruncateFrom(in.nextLong());
            case TRUNCATE_UNTIL -> new LogRecord.TruncateUntil(in.nextLong());
            case CHUNK -> new LogRecord.Chunk(LogEntryCodec.readChunk(in.nextArray()));
            case DELETE_SNAPSHOT -> new LogRecord.DeleteSnapshot(in.nextLong());
            default -> throw new MalformedMessageException("found a record of unknown kind " + kind);
        };
    }

    private static RaftEndpointPersistentState readLocalEndpoint(CborArrayReader in) throws MalformedMessageException {
        return MODEL.createRaftEndpointPersistentStateBuilder()
                .setLocalEndpoint(Voter.endpointOrNull(in.nextText()))
                .setVoting(in.nextFlag())
                .build();
    }

    private static RaftTermPersistentState readTerm(CborArrayReader in) throws MalformedMessageException {
        return MODEL.createRaftTermPersistentStateBuilder()
                .setTerm(in.nextInt())
                .setVotedFor(Voter.endpointOrNull(in.nextText()))
                .build();
    }
}

package spartrail.policy.replication;

import io.microraft.model.message.AppendEntriesFailureResponse;
import io.microraft.model.message.AppendEntriesRequest;
import io.microraft.model.message.AppendEntriesSuccessResponse;
import io.microraft.model.message.InstallSnapshotRequest;
import io.microraft.model.message.InstallSnapshotResponse;
import io.microraft.model.message.PreVoteRequest;
import io.microraft.model.message.PreVoteResponse;
import io.microraft.model.message.RaftMessage;
import io.microraft.model.message.TriggerLeaderElectionRequest;
import io.microraft.model.message.VoteRequest;
import io.microraft.model.message.VoteResponse;
import spartrail.model.MalformedMessageException;

/** The kinds of Raft messages, each with its number on the wire and its name in a {@link CrashPoint}. */
enum RaftMessageKind {
    APPEND_ENTRIES_REQUEST(1, "ENTRIES", AppendEntriesRequest.class),
    APPEND_ENTRIES_SUCCESS(2, "ENTRIES TAKEN", AppendEntriesSuccessResponse.class),
    APPEND_ENTRIES_FAILURE(3, "ENTRIES REFUSED", AppendEntriesFailureResponse.class),
    INSTALL_SNAPSHOT_REQUEST(4, "SNAPSHOT", InstallSnapshotRequest.class),
    INSTALL_SNAPSHOT_RESPONSE(5, "SNAPSHOT TAKEN", InstallSnapshotResponse.class),
    PRE_VOTE_REQUEST(6, "PRE-VOTE ASKED", PreVoteRequest.class),
    PRE_VOTE_RESPONSE(7, "PRE-VOTE", PreVoteResponse.class),
    VOTE_REQUEST(8, "VOTE ASKED", VoteRequest.class),
    VOTE_RESPONSE(9, "VOTE", VoteResponse.class),
    TRIGGER_LEADER_ELECTION(10, "LEAD", TriggerLeaderElectionRequest.class);

    private final int wireNumber;
    private final String crashPointName;
    private final Class<? extends RaftMessage> type;

    RaftMessageKind(int wireNumber, String crashPointName, Class<? extends RaftMessage> type) {
        this.wireNumber = wireNumber;
        this.crashPointName = crashPointName;
        this.type = type;
    }

    /** The first value of a message of this kind. */
    int wireNumber() {
        return wireNumber;
    }

    /** The name of this kind in the names of crash points. */
    String crashPointName() {
        return crashPointName;
    }

    /** The kind of a message; throws IllegalArgumentException for a type that this program does not send. */
    static RaftMessageKind of(RaftMessage message) {
        for (RaftMessageKind kind : values()) {
            if (kind.type.isInstance(message)) {
                return kind;
            }
        }
        throw new IllegalArgumentException(
                "found a Raft message of " + message.getClass() + ", which has no kind on the wire");
    }

    /** The kind with this number on the wire. */
    static RaftMessageKind ofWireNumber(int wireNumber) throws MalformedMessageException {
        for (RaftMessageKind kind : values()) {
            if (kind.wireNumber == wireNumber) {
                return kind;
            }
        }
        throw new MalformedMessageException(
                "found a Raft message of kind " + wireNumber + ", 1 to " + values().length + " are expected");
    }
}

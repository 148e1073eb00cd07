package spartrail.policy.replication;

import io.microraft.model.message.RaftMessage;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;

/** A message about policy: among nodes, or between a node and an operator's command. */
sealed interface PolicyMessage {
    /** The kinds of messages, with their number on the wire and their name in {@link CrashPoint}. */
    enum Kind {
        POLL(0, "ASK"),
        POLL_RESPONSE(1, "TOLD"),
        REDIRECT(2, "ELSEWHERE"),
        UPDATE_NOTICE(3, "NEWS"),
        RAFT(4, "LOG"),
        ADMIN_COMMAND(5, "ORDER"),
        ADMIN_RESULT(6, "DONE"),
        ADMIN_QUERY(7, "QUESTION"),
        ADMIN_REPLY(8, "REPLY");

        private final int wireNumber;
        private final String crashPointName;

        Kind(int wireNumber, String crashPointName) {
            this.wireNumber = wireNumber;
            this.crashPointName = crashPointName;
        }

        /** The first value of a message of this kind. */
        int wireNumber() {
            return wireNumber;
        }

        /** How crash points name it. */
        String crashPointName() {
            return crashPointName;
        }
    }

    /** Which kind it is of. */
    Kind kind();

    /** A node asks for a lease on what is active. */
    record Poll(PolicyRequest request) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.POLL;
        }
    }

    /** A node is granted a lease. */
    record PollResponse(PolicyResponse response) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.POLL_RESPONSE;
        }
    }

    /**
     * A node that was polled does not lead.
     *
     * @param nonce of the poll
     * @param leader the name of who does; empty if that is not known
     */
    record Redirect(long nonce, String leader) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.REDIRECT;
        }
    }

    /** The log has changed, nodes are to poll now. */
    record UpdateNotice() implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.UPDATE_NOTICE;
        }
    }

    /** A message of the Raft library from one voter to another. */
    record Raft(RaftMessage message) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.RAFT;
        }
    }

    /** An operator's operation on the log; its token identifies the command, however often it arrives. */
    record AdminCommand(LogOperation operation) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.ADMIN_COMMAND;
        }
    }

    /**
     * What came of a command.
     *
     * @param token of the command
     * @param outcome a proposal's number, or {@code !} and a reason; empty if this node cannot say
     * @param leaderAddress where the leader listens; empty if that is not known
     */
    record AdminResult(String token, String outcome, String leaderAddress) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.ADMIN_RESULT;
        }
    }

    /** An operator's query about this node. */
    record AdminQuery(String token, String query) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.ADMIN_QUERY;
        }
    }

    /** The answer to a query, with its token. */
    record AdminReply(String token, String text) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.ADMIN_REPLY;
        }
    }
}

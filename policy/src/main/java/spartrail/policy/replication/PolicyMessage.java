package spartrail.policy.replication;

import io.microraft.model.message.RaftMessage;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;

/** A policy message: between two nodes, or between a node and an operator's client. */
sealed interface PolicyMessage {
    /** The kinds of messages, each with its number on the wire and its name in a {@link CrashPoint}. */
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

        /** The name of this kind in the names of crash points. */
        String crashPointName() {
            return crashPointName;
        }
    }

    /** The kind of this message. */
    Kind kind();

    /** A node polls the leader for a lease on the active version. */
    record Poll(PolicyRequest request) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.POLL;
        }
    }

    /** The leader's response to a poll, which grants a lease. */
    record PollResponse(PolicyResponse response) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.POLL_RESPONSE;
        }
    }

    /**
     * The response of a polled node that is not the leader.
     *
     * @param nonce the nonce of the poll
     * @param leader the name of the leader; empty if not known
     */
    record Redirect(long nonce, String leader) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.REDIRECT;
        }
    }

    /** Tells a node that the log has changed, so that it polls at once. */
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

    /** An operator's operation on the log; its token identifies the command when it arrives more than once. */
    record AdminCommand(LogOperation operation) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.ADMIN_COMMAND;
        }
    }

    /**
     * The result of a command.
     *
     * @param token the token of the command
     * @param outcome the proposal's number, or {@code !} and an error; empty if this node does not know the outcome
     * @param leaderAddress the address of the leader; empty if not known
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

    /** The reply to a query, with the token of the query. */
    record AdminReply(String token, String text) implements PolicyMessage {
        @Override
        public Kind kind() {
            return Kind.ADMIN_REPLY;
        }
    }
}

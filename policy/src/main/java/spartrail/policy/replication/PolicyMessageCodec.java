package spartrail.policy.replication;

import spartrail.model.MalformedMessageException;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;

/**
 * Encodes policy messages: a CBOR array whose first value is the number of the kind. Later versions may add values at
 * the end of an array.
 *
 * <pre>
 *  0 POLL           nonce, node, voted number, objection, active policy
 *  1 POLL_RESPONSE  nonce, applied index, active version, pending version or ""
 *                   a version: number, settings, proposer, stage, reason, token
 *  2 REDIRECT       nonce, the leader's name or ""
 *  3 UPDATE_NOTICE
 *  4 RAFT           a Raft message, see RaftMessageEncoder
 *  5 ADMIN_COMMAND  token, kind of operation, proposal number, text, issuer
 *  6 ADMIN_RESULT   token, outcome, the leader's address or ""
 *  7 ADMIN_QUERY    token, query: show; check SETTINGS; in drills the crash point to arm
 *  8 ADMIN_REPLY    token, text
 * </pre>
 */
public final class PolicyMessageCodec {
    /** The channel number of policy in gossip frames. */
    public static final int CHANNEL = 3;

    private PolicyMessageCodec() {}

    /** The bytes of a message. */
    static byte[] encode(PolicyMessage message) {
        return CborArrayWriter.encode(out -> {
            out.number(message.kind().wireNumber());
            writeFields(out, message);
        });
    }

    private static void writeFields(CborArrayWriter out, PolicyMessage message) {
        switch (message.kind()) {
            case POLL -> writeRequest(out, ((PolicyMessage.Poll) message).request());
            case POLL_RESPONSE -> writeResponse(out, ((PolicyMessage.PollResponse) message).response());
            case REDIRECT -> {
                PolicyMessage.Redirect redirect = (PolicyMessage.Redirect) message;
                out.number(redirect.nonce()).text(redirect.leader());
            }
            case UPDATE_NOTICE -> {}
            case RAFT -> out.array(raft -> RaftMessageEncoder.write(raft, ((PolicyMessage.Raft) message).message()));
            case ADMIN_COMMAND -> writeCommand(out, ((PolicyMessage.AdminCommand) message).operation());
            case ADMIN_RESULT -> {
                PolicyMessage.AdminResult result = (PolicyMessage.AdminResult) message;
                out.text(result.token()).text(result.outcome()).text(result.leaderAddress());
            }
            case ADMIN_QUERY -> {
                PolicyMessage.AdminQuery query = (PolicyMessage.AdminQuery) message;
                out.text(query.token()).text(query.query());
            }
            case ADMIN_REPLY -> {
                PolicyMessage.AdminReply reply = (PolicyMessage.AdminReply) message;
                out.text(reply.token()).text(reply.text());
            }
            default -> throw new IllegalStateException("a kind without fields: " + message.kind());
        }
    }

    private static void writeRequest(CborArrayWriter out, PolicyRequest request) {
        out.number(request.nonce())
                .text(request.node())
                .number(request.votedNumber())
                .text(request.objection())
                .text(request.activePolicy());
    }

    private static void writeResponse(CborArrayWriter out, PolicyResponse response) {
        out.number(response.nonce())
                .number(response.appliedIndex())
                .array(version -> PolicyLogCodec.writeVersion(version, response.active()));
        PolicyLogCodec.writeVersionOrNone(out, response.pending());
    }

    private static void writeCommand(CborArrayWriter out, LogOperation operation) {
        out.text(operation.token())
                .text(operation.kind().wireName())
                .number(operation.proposalNumber())
                .text(operation.text())
                .text(operation.issuer());
    }

    /** The message that these bytes encode, or null for an unknown kind. */
    static PolicyMessage decode(byte[] bytes) throws MalformedMessageException {
        CborArrayReader in = CborArrayReader.of(bytes);
        PolicyMessage.Kind kind = findKind(in.nextInt());
        if (kind == null) {
            return null;
        }
        return switch (kind) {
            case POLL -> new PolicyMessage.Poll(readRequest(in));
            case POLL_RESPONSE -> new PolicyMessage.PollResponse(readResponse(in));
            case REDIRECT -> new PolicyMessage.Redirect(in.nextLong(), in.nextText());
            case UPDATE_NOTICE -> new PolicyMessage.UpdateNotice();
            case RAFT -> new PolicyMessage.Raft(RaftMessageDecoder.read(in.nextArray()));
            case ADMIN_COMMAND -> new PolicyMessage.AdminCommand(readCommand(in));
            case ADMIN_RESULT -> new PolicyMessage.AdminResult(in.nextText(), in.nextText(), in.nextText());
            case ADMIN_QUERY -> new PolicyMessage.AdminQuery(in.nextText(), in.nextText());
            case ADMIN_REPLY -> new PolicyMessage.AdminReply(in.nextText(), in.nextText());
        };
    }

    private static PolicyMessage.Kind findKind(int wireNumber) {
        for (PolicyMessage.Kind kind : PolicyMessage.Kind.values()) {
            if (kind.wireNumber() == wireNumber) {
                return kind;
            }
        }
        return null;
    }

    private static PolicyRequest readRequest(CborArrayReader in) throws MalformedMessageException {
        return new PolicyRequest(in.nextLong(), in.nextText(), in.nextLong(), in.nextText(), in.nextText());
    }

    private static PolicyResponse readResponse(CborArrayReader in) throws MalformedMessageException {
        return new PolicyResponse(
                in.nextLong(),
                in.nextLong(),
                PolicyLogCodec.readVersion(in.nextArray()),
                PolicyLogCodec.readVersionOrNull(in));
    }

    private static LogOperation readCommand(CborArrayReader in) throws MalformedMessageException {
        String token = in.nextText();
        LogOperation.Kind kind = PolicyLogCodec.parseOperationKind(in.nextText());
        return new LogOperation(kind, in.nextLong(), in.nextText(), in.nextText(), token);
    }
}

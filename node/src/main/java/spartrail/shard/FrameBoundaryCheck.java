package spartrail.shard;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Decides whether a response ends where its frame does. If the length that a server states is too large, the value goes
 * on with the beginning of the next frame, which is valid UTF-8 as well, and a client would be given bytes of another
 * client's response.
 *
 * <p>The evidence is the head of a frame within the value: a length, the type and the id of a part that this server may
 * answer or has just answered on this connection. No server makes such bytes by itself; only a client can have sent them
 * in its text, so bytes that are also in the text are no evidence. Where the value ends within a head, what follows
 * decides: the next frame begins either behind the value or within it.
 *
 * <p>Cost: linear in the value; ids are compared only behind a byte 0, which is rare in text.
 */
final class FrameBoundaryCheck {
    /** What is known of the end of a response. */
    enum Verdict {
        /** Nothing speaks against the stated length. */
        CONSISTENT,
        /** The value ends like the beginning of a frame, and too little was received behind it. */
        UNDECIDED,
        /** The stated length reaches into the next frame. */
        OVERLONG
    }

    /** The parts that a server may answer, or has answered lately, on one connection. */
    interface KnownParts {
        /** Whether a part has this id. */
        boolean contains(String id);

        /** Whether the id of a part begins with this prefix. */
        boolean containsPrefix(String prefix);
    }

    private enum HeadMatch {
        /** The bytes begin no frame with the response for a known part. */
        NONE,
        /** The bytes end before that can be told. */
        PARTIAL,
        COMPLETE
    }

    /** How bytes match the head of a frame, and the end of the bytes that do. */
    private record Head(HeadMatch match, int end) {}

    private static final Head NO_HEAD = new Head(HeadMatch.NONE, 0);
    private static final int LENGTH_BYTES = 4;
    /** A text that is full of heads would otherwise take long to compare. */
    private static final int MAX_COMPARED_HEADS = 8;

    private final KnownParts knownParts;

    FrameBoundaryCheck(KnownParts knownParts) {
        this.knownParts = knownParts;
    }

    /**
     * Checks the end of a response.
     *
     * @param value the value of the response
     * @param text the text of the part that it answers
     * @param behind the bytes that were received behind it
     * @param mayAnswerOthers whether the server may answer other parts on this connection
     */
    Verdict check(byte[] value, byte[] text, ByteBuffer behind, boolean mayAnswerOthers) {
        int comparedHeads = 0;
        for (int i = 0; i < value.length && comparedHeads < MAX_COMPARED_HEADS; i++) {
            Head head = value[i] == 0 ? matchHead(value, i, value.length) : NO_HEAD;
            if (head.match == HeadMatch.NONE) {
                continue;
            }
            comparedHeads++;
            if (contains(text, value, i, head.end)) {
                continue;
            }
            if (head.match == HeadMatch.COMPLETE) {
                return Verdict.OVERLONG;
            }
            return mayAnswerOthers ? checkBehind(behind) : Verdict.CONSISTENT;
        }
        return Verdict.CONSISTENT;
    }

    private Verdict checkBehind(ByteBuffer behind) {
        byte[] bytes = new byte[behind.remaining()];
        behind.duplicate().get(bytes);
        return switch (matchHead(bytes, 0, bytes.length).match) {
            case COMPLETE -> Verdict.CONSISTENT;
            case PARTIAL -> Verdict.UNDECIDED;
            case NONE -> Verdict.OVERLONG;
        };
    }

    private Head matchHead(byte[] bytes, int from, int to) {
        int lengthEnd = Math.min(to, from + LENGTH_BYTES);
        int length = 0;
        for (int i = from; i < from + LENGTH_BYTES; i++) {
            length = length << 8 | (i < to ? bytes[i] & 0xff : 0);
        }
        if (length < 0 || length > ShardFrameCodec.MAX_FRAME_BYTES) {
            return NO_HEAD;
        }
        if (lengthEnd == to) {
            return new Head(HeadMatch.PARTIAL, to);
        }
        boolean isResponse = length > 0 && bytes[lengthEnd] == ShardFrameCodec.RESPONSE_TYPE;
        return isResponse ? matchId(bytes, lengthEnd + 1, to) : NO_HEAD;
    }

    private Head matchId(byte[] bytes, int from, int to) {
        StringBuilder id = new StringBuilder();
        for (int i = from; i < to; i++) {
            if (bytes[i] == ' ') {
                return knownParts.contains(id.toString()) ? new Head(HeadMatch.COMPLETE, i + 1) : NO_HEAD;
            }
            if (bytes[i] < ' ') {
                return NO_HEAD;
            }
            id.append((char) bytes[i]);
        }
        return knownParts.containsPrefix(id.toString()) ? new Head(HeadMatch.PARTIAL, to) : NO_HEAD;
    }

    /** Whether the text contains these bytes of the value. */
    private static boolean contains(byte[] text, byte[] value, int from, int to) {
        for (int start = 0; start + to - from <= text.length; start++) {
            if (Arrays.equals(text, start, start + to - from, value, from, to)) {
                return true;
            }
        }
        return false;
    }
}

package spartrail.shard;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import spartrail.model.MalformedMessageException;

/**
 * Encodes and decodes the frames between front nodes and index servers: four bytes with the length of the rest, one
 * byte for the type, then the payload. The node sends type {@code R} (a batch of parts) and {@code A} (a cancelled
 * part). It receives {@code Y} (the response for a part) and {@code N} (the server could not read a frame).
 */
final class ShardFrameCodec {
    /** A server's response for one part. */
    record PartResponse(String id, Status status, byte[] value) {}

    /** The status of a part in a server's response. */
    enum Status {
        OK,
        ERROR,
        REJECTED
    }

    /** The longest frame: a value is part of a client's response, which is no longer than this. */
    static final int MAX_FRAME_BYTES = 64 * 1024;

    static final char RESPONSE_TYPE = 'Y';

    private static final int HEADER_BYTES = 5;
    private static final Pattern SCORE_FORMAT = Pattern.compile("[0-9]{1,20}");

    private ShardFrameCodec() {}

    /** Encodes a batch: for each part a line and its text. */
    static ByteBuffer encodeBatch(List<PartRequest> parts, double nowMs) {
        ByteArrayOutputStream payload = new ByteArrayOutputStream();
        for (PartRequest part : parts) {
            long remainingMs = Math.max(1, (long) (part.answerByMs - nowMs));
            byte[] line = (part.id + ' ' + part.shard + " d=" + remainingMs + ' ' + part.text.length + '\n')
                    .getBytes(StandardCharsets.US_ASCII);
            payload.writeBytes(line);
            payload.writeBytes(part.text);
        }
        return encodeFrame('R', payload.toByteArray());
    }

    /** Encodes the cancellation of a part. */
    static ByteBuffer encodeCancellation(String id) {
        return encodeFrame('A', id.getBytes(StandardCharsets.US_ASCII));
    }

    static ByteBuffer encodeFrame(char type, byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        return frame.putInt(1 + payload.length).put((byte) type).put(payload).flip();
    }

    /** Buffers received bytes and splits them into frames. */
    static final class Decoder {
        private byte[] bytes = new byte[512];
        private int from;
        private int to;

        void append(ByteBuffer in) {
            int more = in.remaining();
            if (from > 0) {
                System.arraycopy(bytes, from, bytes, 0, to - from);
                to -= from;
                from = 0;
            }
            if (to + more > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, to + more));
            }
            in.get(bytes, to, more);
            to += more;
        }

        /** Whether a frame was received in part. */
        boolean hasPartialFrame() {
            return to > from;
        }

        /** The bytes that were received behind the responses returned so far; only to be read, until the next append. */
        ByteBuffer bytesBehind() {
            return ByteBuffer.wrap(bytes, from, to - from);
        }

        /**
         * Returns the next complete response, or null. Frames of all other types are malformed, also the response to a
         * health check, which this node never requests. Memory is allocated for received bytes only, not by the length
         * that a frame states.
         */
        PartResponse nextResponse() throws MalformedMessageException {
            if (to - from < HEADER_BYTES) {
                return null;
            }
            int length = ByteBuffer.wrap(bytes, from, 4).getInt();
            char type = (char) (bytes[from + 4] & 0xff);
            if (length < 1 || length > MAX_FRAME_BYTES) {
                throw new MalformedMessageException(
                        "frame length is " + length + ", 1 to " + MAX_FRAME_BYTES + " is expected");
            }
            if (type != RESPONSE_TYPE && type != 'N') {
                throw new MalformedMessageException("frame type is " + (int) type + ", Y or N is expected");
            }
            if (to - from < 4 + length) {
                return null;
            }
            int start = from + HEADER_BYTES;
            int end = from + 4 + length;
            from = end;
            if (type == 'N') {
                throw new MalformedMessageException("N frame with the text: "
                        + new String(bytes, start, Math.min(100, end - start), StandardCharsets.US_ASCII)
                                .replaceAll("[^ -~]", "?"));
            }
            return decodeResponse(start, end);
        }

        private PartResponse decodeResponse(int start, int end) throws MalformedMessageException {
            int lineEnd = start;
            while (lineEnd < end && bytes[lineEnd] != '\n') {
                lineEnd++;
            }
            // The load report at the end of the line is not checked, as the node does not use it.
            String[] words = new String(bytes, start, lineEnd - start, StandardCharsets.US_ASCII).split(" ", 4);
            if (lineEnd == end
                    || words.length < 4
                    || !SCORE_FORMAT.matcher(words[2]).matches()) {
                throw new MalformedMessageException("response has no line with an id, a status and a score");
            }
            Status status =
                    switch (words[1]) {
                        case "OK" -> Status.OK;
                        case "ERROR" -> Status.ERROR;
                        case "REJECTED" -> Status.REJECTED;
                        default -> throw new MalformedMessageException(
                                "response status is unknown, OK, ERROR or REJECTED is expected");
                    };
            try {
                // Invalid UTF-8 would reach the client as a different value than the server's.
                StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, lineEnd + 1, end - lineEnd - 1));
            } catch (CharacterCodingException e) {
                throw new MalformedMessageException("response value is not valid UTF-8", e);
            }
            return new PartResponse(words[0], status, Arrays.copyOfRange(bytes, lineEnd + 1, end));
        }
    }
}

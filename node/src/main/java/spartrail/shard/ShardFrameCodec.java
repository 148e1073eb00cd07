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
 * The frames between front nodes and index servers: four bytes of length, counted from behind them, one of type, the payload. Types sent
 * are {@code R} (a batch of parts) and {@code A} (a part is cancelled); received are {@code Y} (a part's response) and {@code N} (the
 * server could not read a frame).
 */
final class ShardFrameCodec {
    /** A server's response for one part. */
    record PartResponse(String id, Status status, byte[] value) {}

    /** How a server says that a part ended. */
    enum Status {
        OK,
        ERROR,
        REJECTED
    }

    /** A value goes into a client's response, and no response is longer than this. */
    static final int MAX_FRAME_BYTES = 64 * 1024;

    private static final int HEADER_BYTES = 5;
    private static final Pattern SCORE_FORMAT = Pattern.compile("[0-9]{1,20}");

    private ShardFrameCodec() {}

    /** A batch: each part a line and its text. */
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

    /** A part is not waited for any more. */
    static ByteBuffer encodeCancellation(String id) {
        return encodeFrame('A', id.getBytes(StandardCharsets.US_ASCII));
    }

    static ByteBuffer encodeFrame(char type, byte[] payload) {
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        return frame.putInt(1 + payload.length).put((byte) type).put(payload).flip();
    }

    /** Takes bytes as they come and finds where frames end. */
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

        /** A frame has begun and is not complete. */
        boolean hasPartialFrame() {
            return to > from;
        }

        /**
         * The next response that is complete, or null. A health check's response is as malformed as any other that nobody here asks for.
         * Memory for a frame is taken as its bytes come, never as it announces.
         */
        PartResponse nextResponse() throws MalformedMessageException {
            if (to - from < HEADER_BYTES) {
                return null;
            }
            int length = ByteBuffer.wrap(bytes, from, 4).getInt();
            char type = (char) (bytes[from + 4] & 0xff);
            if (length < 1 || length > MAX_FRAME_BYTES) {
                throw new MalformedMessageException("a frame of length " + length);
            }
            if (type != 'Y' && type != 'N') {
                throw new MalformedMessageException("a frame of letter " + (int) type);
            }
            if (to - from < 4 + length) {
                return null;
            }
            int start = from + HEADER_BYTES;
            int end = from + 4 + length;
            from = end;
            if (type == 'N') {
                throw new MalformedMessageException("N: "
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
            // What is wrong with a load report alone makes no response malformed: nothing here goes by it.
            String[] words = new String(bytes, start, lineEnd - start, StandardCharsets.US_ASCII).split(" ", 4);
            if (lineEnd == end
                    || words.length < 4
                    || !SCORE_FORMAT.matcher(words[2]).matches()) {
                throw new MalformedMessageException("an answer without its line");
            }
            Status status =
                    switch (words[1]) {
                        case "OK" -> Status.OK;
                        case "ERROR" -> Status.ERROR;
                        case "REJECTED" -> Status.REJECTED;
                        default -> throw new MalformedMessageException("an answer of an unknown end");
                    };
            try {
                // What is no text would reach the client as another value than the server made.
                StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, lineEnd + 1, end - lineEnd - 1));
            } catch (CharacterCodingException e) {
                throw new MalformedMessageException("a value that is no text", e);
            }
            return new PartResponse(words[0], status, Arrays.copyOfRange(bytes, lineEnd + 1, end));
        }
    }
}

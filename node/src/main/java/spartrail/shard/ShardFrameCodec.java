package spartrail.shard;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.regex.Pattern;
import spartrail.model.MalformedMessageException;

/** The frames between front nodes and index servers: a length, a letter, the rest. */
final class ShardFrameCodec {
    /** A server's answer for one part. */
    record Answer(String id, End end, byte[] value) {}

    /** How a server says that a part ended. */
    enum End {
        OK,
        ERROR,
        REJECTED
    }

    /** A value goes into a client's answer, and no answer is longer than this. */
    static final int LONGEST = 64 * 1024;

    private static final int HEAD = 5;
    private static final Pattern SCORE = Pattern.compile("[0-9]{1,20}");

    private ShardFrameCodec() {}

    /** One call: each part a line and its text. */
    static ByteBuffer call(List<PartRequest> parts, double nowMs) {
        ByteArrayOutputStream rest = new ByteArrayOutputStream();
        for (PartRequest part : parts) {
            long waitMs = Math.max(1, (long) (part.untilMs - nowMs));
            byte[] line = (part.id + ' ' + part.shard + " d=" + waitMs + ' ' + part.text.length + '\n')
                    .getBytes(StandardCharsets.US_ASCII);
            rest.writeBytes(line);
            rest.writeBytes(part.text);
        }
        return frame('R', rest.toByteArray());
    }

    /** A part is given up. */
    static ByteBuffer giveUp(String id) {
        return frame('A', id.getBytes(StandardCharsets.US_ASCII));
    }

    static ByteBuffer frame(char letter, byte[] rest) {
        ByteBuffer frame = ByteBuffer.allocate(HEAD + rest.length);
        return frame.putInt(1 + rest.length).put((byte) letter).put(rest).flip();
    }

    /** Takes bytes as they come and tells where frames end. */
    static final class Reader {
        private byte[] bytes = new byte[512];
        private int from;
        private int to;

        void take(ByteBuffer in) {
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

        /** A frame has begun and is not there whole. */
        boolean partial() {
            return to > from;
        }

        /**
         * The next answer that is there whole, or null. A probe's answer is as unusable as any other that nobody
         * here asks for. Danger: memory for a frame is taken as its bytes come, never as it announces.
         */
        Answer next() throws MalformedMessageException {
            if (to - from < HEAD) {
                return null;
            }
            int length = ByteBuffer.wrap(bytes, from, 4).getInt();
            char letter = (char) (bytes[from + 4] & 0xff);
            if (length < 1 || length > LONGEST) {
                throw new MalformedMessageException("a frame of length " + length);
            }
            if (letter != 'Y' && letter != 'N') {
                throw new MalformedMessageException("a frame of letter " + (int) letter);
            }
            if (to - from < 4 + length) {
                return null;
            }
            int start = from + HEAD;
            int end = from + 4 + length;
            from = end;
            if (letter == 'N') {
                throw new MalformedMessageException("N: "
                        + new String(bytes, start, Math.min(100, end - start), StandardCharsets.US_ASCII)
                                .replaceAll("[^ -~]", "?"));
            }
            return answer(start, end);
        }

        private Answer answer(int start, int end) throws MalformedMessageException {
            int lf = start;
            while (lf < end && bytes[lf] != '\n') {
                lf++;
            }
            // What is wrong with a load report alone spoils no answer: nothing here goes by it.
            String[] words = new String(bytes, start, lf - start, StandardCharsets.US_ASCII).split(" ", 4);
            if (lf == end || words.length < 4 || !SCORE.matcher(words[2]).matches()) {
                throw new MalformedMessageException("an answer without its line");
            }
            End how =
                    switch (words[1]) {
                        case "OK" -> End.OK;
                        case "ERROR" -> End.ERROR;
                        case "REJECTED" -> End.REJECTED;
                        default -> throw new MalformedMessageException("an answer of an unknown end");
                    };
            try {
                // Danger: what is no text would reach the client as another value than the server made.
                StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(bytes, lf + 1, end - lf - 1));
            } catch (CharacterCodingException e) {
                throw new MalformedMessageException("a value that is no text", e);
            }
            return new Answer(words[0], how, Arrays.copyOfRange(bytes, lf + 1, end));
        }
    }
}

package spartrail.lab.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/**
 * The server's side of the frame protocol between front nodes and index servers. A frame is its length in four bytes, a
 * letter for its type, and the payload.
 */
final class ServerFrameCodec {
    /** A part of an R frame; {@code waitMs} is the time for which the front node waits for its answer. */
    record ReceivedPart(String id, int shard, double waitMs, byte[] text) {}

    /** The bytes read are not a valid frame. */
    static final class MalformedFrameException extends Exception {
        private static final long serialVersionUID = 1;

        MalformedFrameException(String message) {
            super(message);
        }
    }

    private static final int MAX_FRAME_BYTES = 16 * 1024 * 1024;
    /** Bytes received but not yet decoded are those from {@code from} to before {@code to}. */
    private byte[] bytes = new byte[4096];

    private int from;
    private int to;
    char type;
    /** The parts of the last frame, if it was an R frame. */
    final List<ReceivedPart> parts = new ArrayList<>();
    /** The part that the last frame cancels, if it was an A frame. */
    String id;

    void append(ByteBuffer in) {
        int more = in.remaining();
        if (to + more > bytes.length) {
            System.arraycopy(bytes, from, bytes, 0, to - from);
            to -= from;
            from = 0;
            if (to + more > bytes.length) {
                bytes = Arrays.copyOf(bytes, Math.max(2 * bytes.length, to + more));
            }
        }
        in.get(bytes, to, more);
        to += more;
    }

    /** Reads the next frame into the fields; returns false until all of its bytes have been appended. */
    boolean readNext() throws MalformedFrameException {
        if (to - from < 5) {
            return false;
        }
        int length = ByteBuffer.wrap(bytes, from, 4).getInt();
        if (length < 1 || length > MAX_FRAME_BYTES) {
            throw new MalformedFrameException("a frame of length " + length);
        }
        if (to - from < 4 + length) {
            return false;
        }
        type = (char) bytes[from + 4];
        int at = from + 5;
        int end = from + 4 + length;
        from = end;
        parts.clear();
        if (type == 'A') {
            id = new String(bytes, at, end - at, StandardCharsets.US_ASCII);
        } else if (type == 'R') {
            while (at < end) {
                int lf = at;
                while (lf < end && bytes[lf] != '\n') {
                    lf++;
                }
                String[] words = new String(bytes, at, lf - at, StandardCharsets.US_ASCII).split(" ");
                try {
                    int size = Integer.parseInt(words[3]);
                    double waitMs = 0;
                    for (String word : words[2].split(",")) {
                        waitMs = word.startsWith("d=") ? Double.parseDouble(word.substring(2)) : waitMs;
                    }
                    parts.add(new ReceivedPart(
                            words[0],
                            Integer.parseInt(words[1]),
                            waitMs,
                            Arrays.copyOfRange(bytes, lf + 1, lf + 1 + size)));
                    at = lf + 1 + size;
                } catch (RuntimeException e) {
                    throw new MalformedFrameException("a part without its line");
                }
                if (at > end) {
                    throw new MalformedFrameException("a text that is longer than its frame");
                }
            }
        } else if (type != 'G' && type != 'T') {
            throw new MalformedFrameException("a frame of letter " + (int) type);
        }
        return true;
    }

    static ByteBuffer encode(char type, byte[] payload) {
        return ByteBuffer.allocate(5 + payload.length)
                .putInt(1 + payload.length)
                .put((byte) type)
                .put(payload)
                .flip();
    }

    static ByteBuffer encode(char type, String payload) {
        return encode(type, payload.getBytes(StandardCharsets.UTF_8));
    }
}

package spartrail.lab.fleet;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The frames between front nodes and servers, seen from a server: a length, a letter, the rest. */
final class ServerFrameCodec {
    /** A part as it was sent. */
    record Sent(String id, int shard, double waitMs, byte[] text) {}

    /** What came is none. */
    static final class Unusable extends Exception {
        private static final long serialVersionUID = 1;

        Unusable(String what) {
            super(what);
        }
    }

    private static final int LONGEST = 16 * 1024 * 1024;
    private byte[] bytes = new byte[4096];
    private int from;
    private int to;
    char letter;
    /** Of an R frame. */
    final List<Sent> parts = new ArrayList<>();
    /** Of an A frame. */
    String id;

    void take(ByteBuffer in) {
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

    /** Reads the next frame into the fields; false where none is there whole. */
    boolean next() throws Unusable {
        if (to - from < 5) {
            return false;
        }
        int length = ByteBuffer.wrap(bytes, from, 4).getInt();
        if (length < 1 || length > LONGEST) {
            throw new Unusable("a frame of length " + length);
        }
        if (to - from < 4 + length) {
            return false;
        }
        letter = (char) bytes[from + 4];
        int at = from + 5;
        int end = from + 4 + length;
        from = end;
        parts.clear();
        if (letter == 'A') {
            id = new String(bytes, at, end - at, StandardCharsets.US_ASCII);
        } else if (letter == 'R') {
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
                    parts.add(new Sent(
                            words[0],
                            Integer.parseInt(words[1]),
                            waitMs,
                            Arrays.copyOfRange(bytes, lf + 1, lf + 1 + size)));
                    at = lf + 1 + size;
                } catch (RuntimeException e) {
                    throw new Unusable("a part without its line");
                }
                if (at > end) {
                    throw new Unusable("a text that is longer than its frame");
                }
            }
        } else if (letter != 'G' && letter != 'T') {
            throw new Unusable("a frame of letter " + (int) letter);
        }
        return true;
    }

    static ByteBuffer frame(char letter, byte[] rest) {
        return ByteBuffer.allocate(5 + rest.length)
                .putInt(1 + rest.length)
                .put((byte) letter)
                .put(rest)
                .flip();
    }

    static ByteBuffer frame(char letter, String rest) {
        return frame(letter, rest.getBytes(StandardCharsets.UTF_8));
    }
}

package spartrail.policy.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A message as pieces that fit into frames, and back: each has the message's number, its own place, and how many there are. A
 * piece that is lost loses the message; whoever sent it sends it again. Bounded: the oldest unfinished messages go.
 */
public final class DatagramReassembler {
    private static final int HEAD = 8;
    private static final int MOST_PIECES = 256;
    private static final int MOST_UNFINISHED = 64;

    private record Key(String from, int number) {}

    private final int mostBytes;
    private final Map<Key, byte[][]> unfinished = new LinkedHashMap<>();
    private int number;

    /** Pieces of so many bytes at the most. Numbers go on from one by chance: a restarted sender must not finish its former one's. */
    public DatagramReassembler(int mostBytes, int first) {
        this.mostBytes = mostBytes;
        this.number = first;
    }

    public List<byte[]> split(byte[] message) {
        int room = mostBytes - HEAD;
        int count = Math.max(1, (message.length + room - 1) / room);
        if (count > MOST_PIECES) {
            throw new IllegalArgumentException(
                    message.length + " bytes, at most " + MOST_PIECES * room + " are expected");
        }
        number++;
        List<byte[]> pieces = new ArrayList<>();
        for (int i = 0; i < count; i++) {
            int length = Math.min(room, message.length - i * room);
            pieces.add(ByteBuffer.allocate(HEAD + length)
                    .putInt(number)
                    .putShort((short) i)
                    .putShort((short) count)
                    .put(message, i * room, length)
                    .array());
        }
        return pieces;
    }

    /** The message that this piece makes whole, or null. */
    public byte[] add(String from, byte[] piece) {
        if (piece.length < HEAD) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(piece);
        Key key = new Key(from, head.getInt());
        int place = head.getShort();
        int count = head.getShort();
        if (count < 1 || count > MOST_PIECES || place < 0 || place >= count) {
            return null;
        }
        byte[][] pieces = unfinished.computeIfAbsent(key, added -> new byte[count][]);
        if (pieces.length != count) {
            unfinished.remove(key);
            return null;
        }
        pieces[place] = piece;
        int length = 0;
        for (byte[] each : pieces) {
            if (each == null) {
                if (unfinished.size() > MOST_UNFINISHED) {
                    unfinished.remove(unfinished.keySet().iterator().next());
                }
                return null;
            }
            length += each.length - HEAD;
        }
        unfinished.remove(key);
        ByteBuffer message = ByteBuffer.allocate(length);
        for (byte[] each : pieces) {
            message.put(each, HEAD, each.length - HEAD);
        }
        return message.array();
    }
}

package spartrail.policy.replication;

import java.nio.ByteBuffer;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Reassembles messages from the pieces that a {@link DatagramSplitter} made. The loss of a piece loses its message; the
 * sender has to send the message again. The number of incomplete messages is bounded, and the oldest is evicted.
 */
final class DatagramReassembler {
    private static final int MAX_INCOMPLETE = 64;

    private record Key(String sender, int messageNumber) {}

    private final Map<Key, byte[][]> incomplete = new LinkedHashMap<>();

    /** The message that this piece completes, or null. */
    byte[] add(String sender, byte[] piece) {
        if (piece.length < DatagramSplitter.HEAD_BYTES) {
            return null;
        }
        ByteBuffer head = ByteBuffer.wrap(piece);
        Key key = new Key(sender, head.getInt());
        int place = head.getShort();
        int count = head.getShort();
        if (count < 1 || count > DatagramSplitter.MAX_PIECES || place < 0 || place >= count) {
            return null;
        }
        byte[][] pieces = incomplete.computeIfAbsent(key, added -> new byte[count][]);
        if (pieces.length != count) {
            incomplete.remove(key);
            return null;
        }
        pieces[place] = piece;
        if (hasGap(pieces)) {
            evictOldest();
            return null;
        }
        incomplete.remove(key);
        return join(pieces);
    }

    private static boolean hasGap(byte[][] pieces) {
        for (byte[] piece : pieces) {
            if (piece == null) {
                return true;
            }
        }
        return false;
    }

    private void evictOldest() {
        if (incomplete.size() > MAX_INCOMPLETE) {
            incomplete.remove(incomplete.keySet().iterator().next());
        }
    }

    private static byte[] join(byte[][] pieces) {
        int length = 0;
        for (byte[] piece : pieces) {
            length += piece.length - DatagramSplitter.HEAD_BYTES;
        }
        ByteBuffer message = ByteBuffer.allocate(length);
        for (byte[] piece : pieces) {
            message.put(piece, DatagramSplitter.HEAD_BYTES, piece.length - DatagramSplitter.HEAD_BYTES);
        }
        return message.array();
    }
}

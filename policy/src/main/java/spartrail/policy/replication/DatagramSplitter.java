package spartrail.policy.replication;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits messages into pieces that fit into datagrams; a {@link DatagramReassembler} restores the messages.
 *
 * <pre>
 *  piece   number of the message (4)  index of the piece, from 0 (2)  count of pieces (2)  bytes
 * </pre>
 */
final class DatagramSplitter {
    /** The size of the header of a piece. */
    static final int HEAD_BYTES = 8;

    /** The largest number of pieces of a message. */
    static final int MAX_PIECES = 256;

    private final int maxPieceBytes;
    private int messageNumber;

    /**
     * Makes pieces of at most {@code maxPieceBytes}. The caller passes a random first number, so that a piece of a
     * restarted process does not complete a message that the process sent before the restart.
     */
    DatagramSplitter(int maxPieceBytes, int firstNumber) {
        this.maxPieceBytes = maxPieceBytes;
        this.messageNumber = firstNumber;
    }

    /** The pieces of a message, in order; throws IllegalArgumentException if it is too long. */
    List<byte[]> split(byte[] message) {
        int capacity = maxPieceBytes - HEAD_BYTES;
        int count = Math.max(1, (message.length + capacity - 1) / capacity);
        if (count > MAX_PIECES) {
            throw new IllegalArgumentException("found a message of " + message.length + " bytes, at most "
                    + MAX_PIECES * capacity + " are expected");
        }
        messageNumber++;
        List<byte[]> pieces = new ArrayList<>();
        for (int place = 0; place < count; place++) {
            int offset = place * capacity;
            int length = Math.min(capacity, message.length - offset);
            pieces.add(ByteBuffer.allocate(HEAD_BYTES + length)
                    .putInt(messageNumber)
                    .putShort((short) place)
                    .putShort((short) count)
                    .put(message, offset, length)
                    .array());
        }
        return pieces;
    }
}

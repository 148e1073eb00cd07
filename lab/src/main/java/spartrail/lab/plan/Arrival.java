package spartrail.lab.plan;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * One multiget that a client will send, and when. Its text is generated from {@code seed} when it is sent.
 *
 * @param number position in the plan, from 0
 * @param atMs time since the start of the plan
 * @param workMs mean work of a part at a server, in milliseconds
 * @param costHintMs the cost that the client states; 0 for none
 * @param timeoutMs how long the client waits for an answer
 * @param newConnection whether the client opens a new connection for it
 * @param seed seed of everything that is drawn for this arrival later
 */
public record Arrival(
        long number,
        double atMs,
        int phase,
        TrafficStream stream,
        String opType,
        String key,
        int[] shards,
        double[] weights,
        double workMs,
        double costHintMs,
        int textBytes,
        double timeoutMs,
        boolean newConnection,
        long seed) {
    private static final char[] HEX = "0123456789abcdef".toCharArray();

    /** The id of an attempt; plans with different seeds have no id in common. */
    public String id(int attempt) {
        long prefix = mixBits(seed ^ number);
        return toHex(prefix) + Integer.toHexString(attempt);
    }

    /** The text of the query; it begins with the work of a part in microseconds, which emulated servers read. */
    public String text() {
        StringBuilder text = new StringBuilder(textBytes + 16);
        text.append('w').append(Math.round(1000 * workMs)).append('.');
        SplittableRandom random = new SplittableRandom(seed);
        while (text.length() < textBytes) {
            text.append(HEX[random.nextInt(16)]);
        }
        return text.toString();
    }

    /** The value that emulated servers answer for a part. It is a hash of the whole request, which reveals mix-ups. */
    public static String value(String partId, int shard, byte[] text) {
        long hash = 0xCBF29CE484222325L;
        for (byte b : partId.getBytes(StandardCharsets.US_ASCII)) {
            hash = (hash ^ b) * 0x100000001B3L;
        }
        for (byte b : text) {
            hash = (hash ^ b) * 0x100000001B3L;
        }
        return toHex(mixBits(hash ^ shard));
    }

    static long mixBits(long bits) {
        bits = (bits ^ bits >>> 30) * 0xBF58476D1CE4E5B9L;
        bits = (bits ^ bits >>> 27) * 0x94D049BB133111EBL;
        return bits ^ bits >>> 31;
    }

    private static String toHex(long value) {
        char[] digits = new char[16];
        for (int i = 15; i >= 0; i--) {
            digits[i] = HEX[(int) (value & 15)];
            value >>>= 4;
        }
        return new String(digits);
    }
}

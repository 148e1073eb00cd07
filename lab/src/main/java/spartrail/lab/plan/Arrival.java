package spartrail.lab.plan;

import java.nio.charset.StandardCharsets;
import java.util.SplittableRandom;

/**
 * One multiget that a client will ask: when, what, how. Its text is made from {@code chance} when it is sent.
 *
 * @param atMs from the plan's beginning
 * @param workMs what a part is to cost at a server, on average
 * @param hintMs what the client says it costs; 0 says nothing
 * @param clientMs how long the client waits for an answer
 * @param chance seed of all that is still to be drawn for it
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
        double hintMs,
        int textBytes,
        double clientMs,
        boolean fresh,
        long chance) {
    private static final char[] HEX = "0123456789abcdef".toCharArray();

    /** A fresh id for each try, made so that no two plans with other seeds share ids. */
    public String id(int tryNumber) {
        long high = mix(chance ^ number);
        return hex(high) + Integer.toHexString(tryNumber);
    }

    /** The text: our stand-in servers read from its head what a part is to cost, in microseconds. */
    public String text() {
        StringBuilder text = new StringBuilder(textBytes + 16);
        text.append('w').append(Math.round(1000 * workMs)).append('.');
        SplittableRandom random = new SplittableRandom(chance);
        while (text.length() < textBytes) {
            text.append(HEX[random.nextInt(16)]);
        }
        return text.toString();
    }

    /** What the servers make of a part: a value that depends on all they are sent, so that a mix-up shows. */
    public static String value(String partId, int shard, byte[] text) {
        long hash = 0xCBF29CE484222325L;
        for (byte b : partId.getBytes(StandardCharsets.US_ASCII)) {
            hash = (hash ^ b) * 0x100000001B3L;
        }
        for (byte b : text) {
            hash = (hash ^ b) * 0x100000001B3L;
        }
        return hex(mix(hash ^ shard));
    }

    static long mix(long z) {
        z = (z ^ z >>> 30) * 0xBF58476D1CE4E5B9L;
        z = (z ^ z >>> 27) * 0x94D049BB133111EBL;
        return z ^ z >>> 31;
    }

    private static String hex(long value) {
        char[] digits = new char[16];
        for (int i = 15; i >= 0; i--) {
            digits[i] = HEX[(int) (value & 15)];
            value >>>= 4;
        }
        return new String(digits);
    }
}

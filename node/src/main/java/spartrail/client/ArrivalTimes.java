package spartrail.client;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * When the bytes of a connection arrived that belong to no handled request yet. A client that sends several requests at
 * once waits for each from the time at which it sent it, not from the time at which the node begins to handle it.
 */
final class ArrivalTimes {
    /** Bytes that arrive within this time share the earliest time, which bounds the number of times. */
    private static final double RESOLUTION_MS = 10;

    /** The number of bytes received up to a time, since the connection was accepted. */
    private record Arrival(long receivedBytes, double atMs) {}

    private final Deque<Arrival> arrivals = new ArrayDeque<>();
    private long receivedBytes;

    /** Adds bytes that arrived at this time or later. */
    void add(int bytes, double atMs) {
        receivedBytes += bytes;
        Arrival last = arrivals.peekLast();
        if (last != null && atMs - last.atMs < RESOLUTION_MS) {
            arrivals.removeLast();
            arrivals.add(new Arrival(receivedBytes, last.atMs));
        } else {
            arrivals.add(new Arrival(receivedBytes, atMs));
        }
    }

    /** The time at which the last byte arrived that precedes so many unhandled ones; {@code nowMs} if it is unknown. */
    double timeOfLastHandledByte(long unhandledBytes, double nowMs) {
        long handledBytes = receivedBytes - unhandledBytes;
        for (Arrival arrival : arrivals) {
            if (arrival.receivedBytes >= handledBytes) {
                return arrival.atMs;
            }
        }
        return nowMs;
    }

    /** Forgets the times of all bytes that precede so many unhandled ones. */
    void forgetHandledBytes(long unhandledBytes) {
        long handledBytes = receivedBytes - unhandledBytes;
        while (!arrivals.isEmpty() && arrivals.peekFirst().receivedBytes <= handledBytes) {
            arrivals.removeFirst();
        }
    }
}

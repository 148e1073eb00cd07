package spartrail.intake;

import java.util.ArrayDeque;
import java.util.Queue;

/**
 * Connections that wait for their turn to have a request handled, each at most once, so that all get the same number of
 * turns. A client that waits for its response before it sends the next request goes before one that pipelines requests;
 * the latter still gets a fixed share of the turns.
 *
 * @param <C> the type of a waiting connection
 */
public final class RequestQueue<C> {
    /** The most turns of other connections between two turns of pipelining ones. */
    private static final int TURNS_PER_PIPELINED_TURN = 8;

    private final Queue<C> single = new ArrayDeque<>();
    private final Queue<C> pipelined = new ArrayDeque<>();
    private int turnsSincePipelined;

    /** Adds a connection that does not wait yet. */
    public void add(C connection, boolean isPipelined) {
        Queue<C> queue = isPipelined ? pipelined : single;
        queue.add(connection);
    }

    /** Removes the connection whose turn it is, or null if none waits. */
    public C poll() {
        boolean isPipelinedDue = single.isEmpty() || turnsSincePipelined >= TURNS_PER_PIPELINED_TURN;
        if (isPipelinedDue && !pipelined.isEmpty()) {
            turnsSincePipelined = 0;
            return pipelined.remove();
        }
        turnsSincePipelined++;
        return single.poll();
    }

    /** Whether no connection waits. */
    public boolean isEmpty() {
        return single.isEmpty() && pipelined.isEmpty();
    }
}

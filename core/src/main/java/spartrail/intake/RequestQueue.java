package spartrail.intake;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Connections that wait for their turn to have a request handled. The one goes first whose last turn is the longest ago;
 * for a new connection its start counts as a turn. So each waits for at most one turn of each other connection, and a
 * client with a pause between its requests goes before all that send without one, however many these are.
 *
 * <p>Cost: logarithmic in the waiting connections for each turn.
 *
 * @param <C> the type of a connection
 */
public final class RequestQueue<C> {
    /** The order decides between connections with the same time. */
    private record Waiting<C>(C connection, double lastTurnMs, long order) {}

    private final PriorityQueue<Waiting<C>> waiting = new PriorityQueue<>(
            Comparator.<Waiting<C>>comparingDouble(Waiting::lastTurnMs).thenComparingLong(Waiting::order));
    private long added;

    /** Adds a connection that does not wait yet, with the time of its last turn. */
    public void add(C connection, double lastTurnMs) {
        waiting.add(new Waiting<>(connection, lastTurnMs, added++));
    }

    /** Removes the connection whose turn it is, or null if none waits. */
    public C poll() {
        Waiting<C> next = waiting.poll();
        return next == null ? null : next.connection;
    }

    /** Whether no connection waits. */
    public boolean isEmpty() {
        return waiting.isEmpty();
    }
}

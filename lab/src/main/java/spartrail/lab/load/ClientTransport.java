package spartrail.lab.load;

/**
 * The connections of a generator. Their events are passed to its {@code on...} methods, never from within the calls
 * below, except {@code onWritten}.
 */
public interface ClientTransport {
    /** Begins to connect; throws an IllegalStateException if no socket can be opened. */
    void open(ClientConnection connection);

    /** Writes the request of this attempt; {@code leftMs} is the time until its client's timeout. */
    void send(ClientConnection connection, ClientAttempt attempt, double leftMs);

    void close(ClientConnection connection);
}

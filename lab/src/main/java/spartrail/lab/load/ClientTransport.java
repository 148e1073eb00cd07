package spartrail.lab.load;

/** What the generator needs of the world; what comes of it is told to the generator, never from within these calls. */
public interface ClientTransport {
    /** Begins to connect; an IllegalStateException where no socket is to be had. */
    void open(ClientConnection conn);

    /** Writes the request of this try. */
    void send(ClientConnection conn, ClientAttempt ask, double leftMs);

    void close(ClientConnection conn);
}

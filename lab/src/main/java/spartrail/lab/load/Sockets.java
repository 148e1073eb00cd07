package spartrail.lab.load;

/** What the generator needs of the world; what comes of it is told to the generator, never from within these calls. */
public interface Sockets {
    /** Begins to connect; an IllegalStateException where no socket is to be had. */
    void open(Conn conn);

    /** Writes the request of this try. */
    void send(Conn conn, Ask ask, double leftMs);

    void close(Conn conn);
}

package spartrail.client;

/** Takes what clients ask; called on the I/O thread, so neither method may wait. */
public interface ClientQueryListener {
    /** A query has come in complete; its one response goes to the request. */
    void onQuery(ClientQuery query, ClientRequest request);

    /** The client of a request without a response has closed its connection. */
    void onClientGone(ClientRequest request);
}

package spartrail.client;

/** Receives clients' queries. Called on the I/O thread, so neither method may block. */
public interface ClientQueryListener {
    /** Called when a complete query was received; the request takes its one response. */
    void onQuery(ClientQuery query, ClientRequest request);

    /** Called when the client of a request without a response has closed its connection. */
    void onClientGone(ClientRequest request);
}

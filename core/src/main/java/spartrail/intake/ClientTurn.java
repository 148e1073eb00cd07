package spartrail.intake;

/** What a client's connection has been granted of a thread's time; {@link ClientWorkBudget} has the rules. */
public final class ClientTurn {
    /** The time of the last turn or, if there was none, of the connection's start. */
    double lastMs;

    long grantedAtPoll = -1;
    long bytesLeft;

    /** Creates the state of a connection that starts now. */
    public ClientTurn(double connectedMs) {
        lastMs = connectedMs;
    }

    /** The time of the last turn or, if there was none, of the connection's start. */
    public double lastMs() {
        return lastMs;
    }

    /** Counts bytes that were read for a request. */
    public void countRead(int bytes) {
        bytesLeft -= bytes;
    }
}

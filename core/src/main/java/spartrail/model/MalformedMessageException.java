package spartrail.model;

/**
 * Thrown for a message from a client, a server or a peer that violates its protocol; the exception message says how.
 */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** For a message that violates a rule of the protocol. */
    public MalformedMessageException(String problem) {
        super(problem);
    }

    /** For a message that could not be decoded; the cause is the exception of the decoder. */
    public MalformedMessageException(String problem, Throwable cause) {
        super(problem, cause);
    }
}

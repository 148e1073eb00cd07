package spartrail.model;

/** A message from a client, a server or a peer that its protocol does not allow; the message says what is wrong with it. */
public final class MalformedMessageException extends Exception {
    private static final long serialVersionUID = 1;

    /** A message that breaks a rule of the protocol. */
    public MalformedMessageException(String problem) {
        super(problem);
    }

    /** A message that could not be decoded, with the decoder's own exception. */
    public MalformedMessageException(String problem, Throwable cause) {
        super(problem, cause);
    }
}

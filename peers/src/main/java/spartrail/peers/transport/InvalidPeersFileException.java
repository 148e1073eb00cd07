package spartrail.peers.transport;

/** Thrown for an invalid peers file; the message names the field, the value found and the value expected. */
final class InvalidPeersFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidPeersFileException(String message) {
        super(message);
    }

    InvalidPeersFileException(String message, Throwable cause) {
        super(message, cause);
    }

    /** Creates the exception for an invalid value of the field with that path, such as /times/answerMs. */
    static InvalidPeersFileException of(String field, Object found, String expected) {
        return new InvalidPeersFileException(field + ": found " + found + ", " + expected + " is expected");
    }
}

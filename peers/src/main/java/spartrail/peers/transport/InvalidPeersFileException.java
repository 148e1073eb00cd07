package spartrail.peers.transport;

/** A peers' file that can't be used: which field, what was found there, what is expected. */
final class InvalidPeersFileException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    InvalidPeersFileException(String message) {
        super(message);
    }

    InvalidPeersFileException(String message, Throwable cause) {
        super(message, cause);
    }

    /** The field at that place, such as /times/answerMs, has a value that can't be used. */
    static InvalidPeersFileException of(String field, Object found, String expected) {
        return new InvalidPeersFileException(field + ": found " + found + ", " + expected + " is expected");
    }
}

package spartrail.lab.file;

/** The input of a user is invalid; the message is one line with the place, the value found and the value expected. */
public final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** Creates an exception whose message names the place, the value found and the value expected. */
    public InvalidInputException(String message) {
        super(message);
    }
}

package spartrail.lab.file;

/** Input of a person that cannot be used; the message is one line with the place, what was found and what is expected. */
public final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    /** With a message that names place, found and expected. */
    public InvalidInputException(String message) {
        super(message);
    }
}

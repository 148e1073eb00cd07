package spartrail.lab.file;

/** What a person gave cannot be used; the message is one line with the place, what was found and what would be right. */
public final class InvalidInputException extends IllegalArgumentException {
    private static final long serialVersionUID = 1;

    public InvalidInputException(String what) {
        super(what);
    }
}

package spartrail.lab.load;

/** The result of one attempt; each attempt has exactly one. */
public enum AttemptResult {
    /** The answer contains all parts and says so. */
    WHOLE,
    /** The answer contains some parts and says that others are missing. */
    PARTIAL,
    /** Status 429 or 503. */
    PUSHED_BACK,
    /** Any other status than 200. */
    FAILED,
    /** An answer with status 200 that cannot be parsed or contains a value that no server returned. */
    WRONG,
    /** The connection ended in the middle of the answer. */
    CUT,
    /** The answer stated no length and ended with its connection. */
    NO_LENGTH,
    /** The answer was longer than allowed, or announced to be. */
    TOO_LONG,
    /** The bytes received were not valid HTTP. */
    GARBLED,
    /** The connection ended after the request, before the first byte of an answer. */
    CLOSED,
    /** No connection was established. */
    NO_CONNECTION,
    /** No answer arrived before the client's timeout, nor within {@code lingerMs} after it. */
    NONE,
    /** The answer arrived after the client's timeout. */
    LATE,
    /** The client abandoned the attempt, as its behavior states. */
    LEFT,
    /** The client's timeout passed while the attempt waited for one of the plan's limited number of connections. */
    NOT_SENT;

    public boolean isServed() {
        return this == WHOLE || this == PARTIAL;
    }

    /** Whether there was no complete, valid answer in time, which a front node owes to each request. */
    public boolean isUnanswered() {
        return this == CUT || this == CLOSED || this == NONE || this == LATE || this == GARBLED || this == TOO_LONG;
    }
}

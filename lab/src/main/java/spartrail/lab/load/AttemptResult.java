package spartrail.lab.load;

/** What became of one try; each has exactly one. */
public enum AttemptResult {
    /** All parts are in and said to be. */
    WHOLE,
    /** Some parts are in, and the answer says so. */
    PARTIAL,
    PUSHED_BACK,
    FAILED,
    /** An answer of 200 that cannot be read or holds what no server made. */
    WRONG,
    /** The connection ended within the answer. */
    CUT,
    /** The answer told no length and ended with its connection. */
    NO_LENGTH,
    /** It announced more than any answer may hold. */
    TOO_LONG,
    /** What came is no HTTP. */
    GARBLED,
    /** The connection ended between the request and its answer. */
    CLOSED,
    /** No connection came up. */
    NO_CONNECTION,
    /** Nothing came in the client's time, nor for a while after it. */
    NONE,
    /** It came when the client's time was over. */
    LATE,
    /** The client left midway, as is its habit. */
    LEFT,
    /** The client's time ended while it waited for a connection of ours, as the cap binds. */
    NOT_SENT;

    public boolean served() {
        return this == WHOLE || this == PARTIAL;
    }

    /** A front node owes a final answer, and this is none. */
    public boolean isUnanswered() {
        return this == CUT || this == CLOSED || this == NONE || this == LATE || this == GARBLED || this == TOO_LONG;
    }
}

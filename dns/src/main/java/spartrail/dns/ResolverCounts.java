package spartrail.dns;

import java.util.Collections;
import java.util.Map;
import java.util.TreeMap;

/** Counters of events, by the name under which they are printed. */
final class ResolverCounts {
    static final String SENT_UDP = "asked over UDP";
    static final String SENT_TCP = "asked over TCP";
    static final String UNEXPECTED = "dropped: nobody waits for it";
    static final String OTHER_ADDRESS = "dropped: from another address";
    static final String UNREADABLE = "dropped: cannot be read";
    static final String OTHER_ID = "dropped: another id";
    static final String OTHER_QUESTION = "dropped: another question";
    static final String OUT_OF_BAILIWICK = "dropped: an address out of bailiwick";
    static final String TRUNCATED = "truncated";
    static final String TIMED_OUT = "timed out";
    static final String NO_CONNECTION = "no connection";
    static final String NO_SERVER_ANSWERS = "nobody answers";
    static final String ENDLESS_CHAIN = "failed: a chain of names without end";
    static final String NO_RECORDS = "there is none";
    static final String TOO_MANY_TARGETS = "left out: too many targets";
    private static final String FAILURE_CODE = "failed: ";

    private final Map<String, Long> counts = new TreeMap<>();

    void increment(String event) {
        counts.merge(event, 1L, Long::sum);
    }

    /** Counts a response with a failure code. */
    void incrementFailure(String code) {
        increment(FAILURE_CODE + code);
    }

    Map<String, Long> asMap() {
        return Collections.unmodifiableMap(counts);
    }
}

package spartrail.policy;

import java.util.List;

/**
 * An entry of the agreed log.
 *
 * @param proposalNumber of the proposal meant; 0 where it has none yet
 * @param text the settings that are proposed, or why one is refused
 * @param issuer who proposes, refuses or asks
 * @param token by chance: the same proposal sent twice is one
 */
public record LogOperation(Kind kind, long proposalNumber, String text, String issuer, String token) {
    /** What it does; LED opens a new leader's time, and changes nothing. */
    public enum Kind {
        LED,
        PROPOSE,
        REFUSE,
        ABORT,
        DECIDE,
        HOLD
    }

    public static final LogOperation OF_NEW_TERM = new LogOperation(Kind.LED, 0, "", "", "");

    public List<Object> toList() {
        return List.of(kind.name(), proposalNumber, text, issuer, token);
    }

    public static LogOperation fromList(List<?> plain) {
        return new LogOperation(
                Kind.valueOf((String) plain.get(0)),
                ((Number) plain.get(1)).longValue(),
                (String) plain.get(2),
                (String) plain.get(3),
                (String) plain.get(4));
    }
}

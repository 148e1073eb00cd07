package spartrail.policy;

import java.util.List;

/**
 * An entry of the agreed log.
 *
 * @param number of the proposal meant; 0 where it has none yet
 * @param text the settings that are proposed, or why one is refused
 * @param who who proposes, refuses or asks
 * @param token by chance: the same proposal sent twice is one
 */
public record LogOperation(Kind kind, long number, String text, String who, String token) {
    /** What it does; LED opens a new leader's time, and changes nothing. */
    public enum Kind {
        LED,
        PROPOSE,
        REFUSE,
        ABORT,
        DECIDE,
        HOLD
    }

    public static final LogOperation LEADS = new LogOperation(Kind.LED, 0, "", "", "");

    public List<Object> plain() {
        return List.of(kind.name(), number, text, who, token);
    }

    public static LogOperation of(List<?> plain) {
        return new LogOperation(
                Kind.valueOf((String) plain.get(0)),
                ((Number) plain.get(1)).longValue(),
                (String) plain.get(2),
                (String) plain.get(3),
                (String) plain.get(4));
    }
}

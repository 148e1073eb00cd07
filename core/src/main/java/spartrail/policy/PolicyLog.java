package spartrail.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The state that the deciding nodes agree on: each of them applies the same entries in the same order. One proposal is open at
 * a time.
 *
 * <pre>
 *  from       entry    to         allowed
 *  -          PROPOSE  PROPOSED   none is open, the settings can be read
 *  PROPOSED   REFUSE   REFUSED
 *  PROPOSED   ABORT    ABORTED
 *  PROPOSED   DECIDE   DECIDED    from here on no lease is given on the version before alone
 *  DECIDED    HOLD     HOLDS      all leases on the version before alone are over; no other way leads out of DECIDED
 * </pre>
 *
 * What holds always:
 * <ol>
 * <li>Numbers go up; the version that holds never goes back.
 * <li>A version that was refused or aborted never holds, and is never decided.
 * <li>Between two versions that hold there is a time in which the later one is decided.
 * </ol>
 */
public final class PolicyLog {
    /** Where a proposal stands. */
    public enum Stage {
        PROPOSED,
        DECIDED,
        HOLDS,
        REFUSED,
        ABORTED
    }

    /** A proposal and what came of it. */
    public record Entry(long number, String settings, String proposer, Stage stage, String reason, String token) {
        Entry withStage(Stage next, String because) {
            return new Entry(number, settings, proposer, next, because, token);
        }
    }

    /** Before anything was proposed each node goes by its own settings. */
    public static final Entry OWN = new Entry(0, "{}", "", Stage.HOLDS, "", "");

    private static final int REMEMBERED = 200;
    private static final int MOST_TEXT = 16_384;

    private final List<Entry> entries = new ArrayList<>();
    private Entry holds = OWN;
    private Entry open;
    private long last;
    private long applied;

    /** Applies an entry; what came of it, as the proposer is told: a number, or {@code !} and what is wrong. */
    public String apply(long index, LogOperation op) {
        applied = index;
        if (op.kind() == LogOperation.Kind.LED) {
            return "";
        }
        if (op.kind() == LogOperation.Kind.PROPOSE) {
            return propose(op);
        }
        if (open == null || open.number() != op.proposalNumber()) {
            return "!no proposal " + op.proposalNumber() + " is open";
        }
        boolean decided = open.stage() == Stage.DECIDED;
        if (decided != (op.kind() == LogOperation.Kind.HOLD)) {
            return decided
                    ? "!" + op.proposalNumber() + " is decided and will hold"
                    : "!" + op.proposalNumber() + " is not decided";
        }
        switch (op.kind()) {
            case REFUSE -> close(open.withStage(Stage.REFUSED, op.issuer() + ": " + op.text()));
            case ABORT -> close(open.withStage(Stage.ABORTED, "aborted by " + op.issuer()));
            case DECIDE -> open = open.withStage(Stage.DECIDED, "");
            default -> {
                holds = open.withStage(Stage.HOLDS, "");
                close(holds);
            }
        }
        return Long.toString(op.proposalNumber());
    }

    private String propose(LogOperation op) {
        for (Entry entry : entries) {
            if (entry.token().equals(op.token())) {
                return Long.toString(entry.number());
            }
        }
        if (open != null) {
            return open.token().equals(op.token())
                    ? Long.toString(open.number())
                    : "!proposal " + open.number() + " by " + open.proposer() + " is still open";
        }
        try {
            if (op.text().length() > MOST_TEXT) {
                throw new IllegalArgumentException(
                        op.text().length() + " characters, at most " + MOST_TEXT + " are expected");
            }
            open = new Entry(
                    last + 1, PolicySettings.parse(op.text()).toJson(), op.issuer(), Stage.PROPOSED, "", op.token());
        } catch (IllegalArgumentException e) {
            return "!" + e.getMessage();
        }
        return Long.toString(++last);
    }

    private void close(Entry entry) {
        open = null;
        entries.add(entry);
        if (entries.size() > REMEMBERED) {
            entries.remove(0);
        }
    }

    /** The version that holds. */
    public Entry active() {
        return holds;
    }

    /** The proposal that is open, or null. */
    public Entry pending() {
        return open;
    }

    /** Index of the entry applied last. */
    public long lastAppliedIndex() {
        return applied;
    }

    /** Proposals that have ended, oldest first, the last two hundred. */
    public List<Entry> finished() {
        return List.copyOf(entries);
    }

    /** All of it as plain values, for a snapshot. */
    public List<Object> toSnapshot() {
        List<Object> all = new ArrayList<>();
        entries.forEach(entry -> all.add(plain(entry)));
        List<Object> state = new ArrayList<>(List.of(last, plain(holds), all));
        state.add(open == null ? "" : plain(open));
        return state;
    }

    private static List<Object> plain(Entry entry) {
        return List.of(
                entry.number(),
                entry.settings(),
                entry.proposer(),
                entry.stage().name(),
                entry.reason(),
                entry.token());
    }

    /** Takes up a snapshot in the place of all it has. */
    public void restoreSnapshot(long index, List<?> plain) {
        applied = index;
        last = ((Number) plain.get(0)).longValue();
        holds = entry(plain.get(1));
        entries.clear();
        ((List<?>) plain.get(2)).forEach(each -> entries.add(entry(each)));
        open = plain.get(3) instanceof List<?> ? entry(plain.get(3)) : null;
    }

    private static Entry entry(Object plain) {
        List<?> list = (List<?>) plain;
        return new Entry(
                ((Number) list.get(0)).longValue(),
                (String) list.get(1),
                (String) list.get(2),
                Stage.valueOf((String) list.get(3)),
                (String) list.get(4),
                (String) list.get(5));
    }
}

package spartrail.policy.replication;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import spartrail.policy.PolicyVersion;

/**
 * The points at which the loss of a process matters to policy: before and after each message, each sync and each change of state.
 * Their names are made of the names of these, so that a new kind of message or record is a new point. A drill arms one in a
 * running process, which ends the moment it gets there, as by a kill that comes just then.
 */
public final class CrashPoint {
    /** What a process does at a point. */
    enum Activity {
        SENDING("sending"),
        SYNCING("syncing"),
        CHANGING_STATE("becoming");

        private final String text;

        Activity(String text) {
            this.text = text;
        }
    }

    /** The system property that lets points be armed, which drills set at a node's start. */
    public static final String ENABLING_PROPERTY = "spartrail.crash";

    /** A node takes up another lease. */
    static final String LEASE_CHANGE = "RULING";

    /** A node has made up its mind on a proposal. */
    static final String VOTE_CHANGE = "VOTE";

    private static final String ARMED_AT_START_PROPERTY = "spartrail.crash.at";
    private static final boolean ENABLED = Boolean.getBoolean(ENABLING_PROPERTY);
    private static final int KILLED_EXIT_STATUS = 137;
    private static final String BEFORE = "before ";
    private static final String AFTER = "after ";

    /** Raft messages are named by their own kinds; operators send commands and queries. */
    private static final EnumSet<PolicyMessage.Kind> WITHOUT_POINT =
            EnumSet.of(PolicyMessage.Kind.RAFT, PolicyMessage.Kind.ADMIN_COMMAND, PolicyMessage.Kind.ADMIN_QUERY);

    private static volatile String armed = System.getProperty(ARMED_AT_START_PROPERTY, "");

    private CrashPoint() {}

    /** The names of all points. */
    public static List<String> allNames() {
        List<String> points = new ArrayList<>();
        points.addAll(namesFor(BEFORE));
        points.addAll(namesFor(AFTER));
        return points;
    }

    private static List<String> namesFor(String side) {
        List<String> points = new ArrayList<>();
        for (PolicyMessage.Kind kind : PolicyMessage.Kind.values()) {
            if (!WITHOUT_POINT.contains(kind)) {
                points.add(name(side, Activity.SENDING, kind.crashPointName()));
            }
        }
        for (RaftMessageKind kind : RaftMessageKind.values()) {
            // No operator can ask for another leader, so that this message is never sent.
            if (kind != RaftMessageKind.TRIGGER_LEADER_ELECTION) {
                points.add(name(side, Activity.SENDING, kind.crashPointName()));
            }
        }
        for (SyncPoint point : SyncPoint.values()) {
            points.add(name(side, Activity.SYNCING, point.crashPointName()));
        }
        for (PolicyVersion.Stage stage : PolicyVersion.Stage.values()) {
            points.add(name(side, Activity.CHANGING_STATE, stage.name()));
        }
        points.add(name(side, Activity.CHANGING_STATE, LEASE_CHANGE));
        points.add(name(side, Activity.CHANGING_STATE, VOTE_CHANGE));
        return points;
    }

    private static String name(String side, Activity activity, String subject) {
        return side + activity.text + ' ' + subject;
    }

    /** The process ends when it next gets to this point; false where that is not enabled. */
    static boolean arm(String point) {
        armed = ENABLED ? point : "";
        return ENABLED;
    }

    /** The process is about to do this. */
    static void before(Activity activity, String subject) {
        reached(BEFORE, activity, subject);
    }

    /** The process has done this. */
    static void after(Activity activity, String subject) {
        reached(AFTER, activity, subject);
    }

    private static void reached(String side, Activity activity, String subject) {
        if (ENABLED && !armed.isEmpty() && armed.equals(name(side, activity, subject))) {
            Runtime.getRuntime().halt(KILLED_EXIT_STATUS);
        }
    }
}

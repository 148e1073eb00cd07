package spartrail.policy.replication;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.List;
import spartrail.policy.PolicyVersion;

/**
 * The points at which the loss of a process matters to policy: before and after each message sent, each sync and each
 * change of state. Their names are composed of the names of messages, sync points and stages, so that a new kind of
 * message or record adds its points. A drill arms one point in a running process, which halts when it reaches the
 * point, as if it were killed there.
 */
public final class CrashPoint {
    /** The activity of the process at a point. */
    enum Activity {
        SENDING("sending"),
        SYNCING("syncing"),
        CHANGING_STATE("becoming");

        private final String text;

        Activity(String text) {
            this.text = text;
        }
    }

    /** The system property that allows points to be armed; drills set it when they start a node. */
    public static final String ENABLING_PROPERTY = "spartrail.crash";

    /** A node applies another lease. */
    static final String LEASE_CHANGE = "RULING";

    /** A node records its vote on a proposal. */
    static final String VOTE_CHANGE = "VOTE";

    private static final String ARMED_AT_START_PROPERTY = "spartrail.crash.at";
    private static final boolean ENABLED = Boolean.getBoolean(ENABLING_PROPERTY);
    private static final int KILLED_EXIT_STATUS = 137;
    private static final String BEFORE = "before ";
    private static final String AFTER = "after ";

    /** Raft messages have points by their own kinds; commands and queries are sent by operators, not by nodes. */
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
                points.add(composeName(side, Activity.SENDING, kind.crashPointName()));
            }
        }
        for (RaftMessageKind kind : RaftMessageKind.values()) {
            // Never sent: there is no operator command that transfers leadership.
            if (kind != RaftMessageKind.TRIGGER_LEADER_ELECTION) {
                points.add(composeName(side, Activity.SENDING, kind.crashPointName()));
            }
        }
        for (SyncPoint point : SyncPoint.values()) {
            points.add(composeName(side, Activity.SYNCING, point.crashPointName()));
        }
        for (PolicyVersion.Stage stage : PolicyVersion.Stage.values()) {
            points.add(composeName(side, Activity.CHANGING_STATE, stage.name()));
        }
        points.add(composeName(side, Activity.CHANGING_STATE, LEASE_CHANGE));
        points.add(composeName(side, Activity.CHANGING_STATE, VOTE_CHANGE));
        return points;
    }

    private static String composeName(String side, Activity activity, String subject) {
        return side + activity.text + ' ' + subject;
    }

    /** Makes the process halt when it next reaches this point; false if crash points are not enabled. */
    static boolean arm(String point) {
        armed = ENABLED ? point : "";
        return ENABLED;
    }

    /** Halts the process if the point before this activity is armed. */
    static void haltIfArmedBefore(Activity activity, String subject) {
        haltIfArmed(BEFORE, activity, subject);
    }

    /** Halts the process if the point after this activity is armed. */
    static void haltIfArmedAfter(Activity activity, String subject) {
        haltIfArmed(AFTER, activity, subject);
    }

    private static void haltIfArmed(String side, Activity activity, String subject) {
        if (ENABLED && !armed.isEmpty() && armed.equals(composeName(side, activity, subject))) {
            Runtime.getRuntime().halt(KILLED_EXIT_STATUS);
        }
    }
}

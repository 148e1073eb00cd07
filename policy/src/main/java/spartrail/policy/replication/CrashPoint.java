package spartrail.policy.replication;

import java.util.ArrayList;
import java.util.List;
import spartrail.policy.PolicyLog;

/**
 * The points at which a process may be lost that matter to policy: before and after each message, each sync and each change of
 * state. Their names are made of the names of these, so that a new kind of message or record is a new point. A drill arms one in
 * a running process, and the process is gone the moment it gets there, as by a kill that comes just then.
 */
public final class CrashPoint {
    /** Drills start nodes so; others cannot be armed. */
    public static final String ALLOWED = "spartrail.crash";

    private static final boolean ON = Boolean.getBoolean(ALLOWED);

    static final List<String> STATES = List.of("RULING", "VOTE");

    /** The log's messages are named by their own kinds; operators send orders and questions; nobody is told to lead. */
    private static final List<String> NOT_SENT = List.of("LOG", "ORDER", "QUESTION", "LEAD");

    private static volatile String armed = System.getProperty("spartrail.crash.at", "");

    private CrashPoint() {}

    /** All points. */
    public static List<String> all() {
        List<String> points = new ArrayList<>();
        for (String side : List.of("before ", "after ")) {
            PolicyMessageCodec.NAMES.stream()
                    .filter(name -> !NOT_SENT.contains(name))
                    .forEach(name -> points.add(side + "sending " + name));
            RaftMessageCodec.NAMES.stream()
                    .filter(name -> !NOT_SENT.contains(name))
                    .forEach(name -> points.add(side + "sending " + name));
            RaftLogStore.SYNCED.forEach(name -> points.add(side + "syncing " + name));
            for (PolicyLog.Stage stage : PolicyLog.Stage.values()) {
                points.add(side + "becoming " + stage);
            }
            STATES.forEach(name -> points.add(side + "becoming " + name));
        }
        return points;
    }

    /** The process is gone when it next gets there; false where drills may not do that. */
    static boolean arm(String point) {
        armed = ON ? point : "";
        return ON;
    }

    static void reached(String side, String what, String name) {
        if (ON && !armed.isEmpty() && armed.equals(side + ' ' + what + ' ' + name)) {
            Runtime.getRuntime().halt(137);
        }
    }
}

package spartrail.policy.replication;

import java.util.EnumSet;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyVersion;

/** Answers operators' queries about this node, and executes their commands if this node is the leader. */
final class AdminRequestHandler {
    /** The query for the status page. */
    static final String SHOW_QUERY = "show";

    /** The prefix of a dry run: the settings that the node is to try out follow. */
    static final String CHECK_QUERY_PREFIX = "check ";

    /** The reply to a query that armed a crash point. */
    static final String ARMED_REPLY = "armed";

    private static final String BUSY_REPLY = "!busy";
    private static final String UNKNOWN_REPLY = "unknown question";

    /** The operations that operators may append to the log; the others are reserved for the leader. */
    private static final EnumSet<LogOperation.Kind> PERMITTED =
            EnumSet.of(LogOperation.Kind.PROPOSE, LogOperation.Kind.ABORT);

    /** The node that the requests are for. */
    interface Node {
        /** The node's replica of the log, or null if it is no voter. */
        RaftReplica replica();

        /** The address of the leader as known to this node, or empty. */
        String leaderAddress();

        /** The node's status as JSON. */
        String statusPage();

        /** Runs a task on the policy thread. */
        void execute(Runnable task);
    }

    private final Node node;
    private final PolicyFollower follower;
    private final ProposalChecker checker;
    private final MessageSender sender;
    private boolean isDryRunning;

    AdminRequestHandler(Node node, PolicyFollower follower, ProposalChecker checker, MessageSender sender) {
        this.node = node;
        this.follower = follower;
        this.checker = checker;
        this.sender = sender;
    }

    /** Answers a query. */
    void onQuery(String from, PolicyMessage.AdminQuery request) {
        String query = request.query();
        if (query.startsWith(CHECK_QUERY_PREFIX)) {
            dryRun(from, request.token(), query.substring(CHECK_QUERY_PREFIX.length()));
        } else if (query.equals(SHOW_QUERY)) {
            reply(from, request.token(), node.statusPage());
        } else if (CrashPoint.allNames().contains(query) && CrashPoint.arm(query)) {
            reply(from, request.token(), ARMED_REPLY);
        } else {
            reply(from, request.token(), UNKNOWN_REPLY);
        }
    }

    /** Runs one dry run at a time, because each costs CPU time. */
    private void dryRun(String from, String token, String settings) {
        if (isDryRunning || follower.lease() == null) {
            reply(from, token, BUSY_REPLY);
            return;
        }
        isDryRunning = true;
        PolicyVersion proposal = new PolicyVersion(0, settings, from, PolicyVersion.Stage.PROPOSED, "", "");
        checker.dryRun(
                proposal,
                follower.lease().settings(),
                result -> node.execute(() -> {
                    isDryRunning = false;
                    reply(from, token, result);
                }));
    }

    private void reply(String to, String token, String text) {
        sender.send(to, new PolicyMessage.AdminReply(token, text));
    }

    /** Executes a command, or answers with the address of the leader, which can execute it. */
    void onCommand(String from, LogOperation operation) {
        if (!PERMITTED.contains(operation.kind())) {
            return;
        }
        RaftReplica replica = node.replica();
        if (replica == null) {
            sendResult(from, operation.token(), "");
            return;
        }
        replica.replicate(operation, outcome -> sendResult(from, operation.token(), outcome == null ? "" : outcome));
    }

    private void sendResult(String to, String token, String outcome) {
        sender.send(to, new PolicyMessage.AdminResult(token, outcome, node.leaderAddress()));
    }
}

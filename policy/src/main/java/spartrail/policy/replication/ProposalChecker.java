package spartrail.policy.replication;

import java.util.function.Consumer;
import java.util.function.Supplier;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyService;
import spartrail.policy.PolicySettings;
import spartrail.policy.PolicyVersion;

/**
 * Checks whether a node can apply a proposal. Each check has its own thread: settings that break or delay the node's
 * decisions must not keep the node from polling.
 */
final class ProposalChecker {
    private final PolicyService.Host host;
    private final PolicyFollower follower;

    ProposalChecker(PolicyService.Host host, PolicyFollower follower) {
        this.host = host;
        this.follower = follower;
    }

    /** Passes the reason why the node cannot apply a proposal, empty if it can, on another thread. */
    void check(PolicyVersion proposal, Consumer<String> onObjection) {
        runOnNewThread(() -> findObjection(proposal), onObjection);
    }

    /** Passes the fields that a proposal would change, a line each, or {@code !} and an error, on another thread. */
    void dryRun(PolicyVersion proposal, PolicySettings current, Consumer<String> onResult) {
        runOnNewThread(
                () -> {
                    String objection = findObjection(proposal);
                    return objection.isEmpty()
                            ? String.join("\n", current.differencesTo(follower.settingsWith(proposal)))
                            : "!" + objection;
                },
                onResult);
    }

    private static void runOnNewThread(Supplier<String> check, Consumer<String> onResult) {
        Thread thread = new Thread(() -> onResult.accept(check.get()), "spartrail-policy-check");
        thread.setDaemon(true);
        thread.start();
    }

    private String findObjection(PolicyVersion proposal) {
        try {
            PolicySettings proposed = follower.settingsWith(proposal);
            String objection = host.dryRun(proposed);
            if (!objection.isEmpty()) {
                return objection;
            }
            PolicySettings active =
                    follower.settingsWith(follower.lastResponse().active());
            return host.dryRun(active.stricterOf(proposed));
        } catch (RuntimeException | Error e) {
            // Any failure of a dry run is a reason to refuse the proposal.
            return String.valueOf(e.getMessage());
        }
    }
}

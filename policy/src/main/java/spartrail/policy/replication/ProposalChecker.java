package spartrail.policy.replication;

import java.util.function.Consumer;
import java.util.function.Supplier;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyService;
import spartrail.policy.PolicySettings;
import spartrail.policy.PolicyVersion;

/**
 * Tries out whether a node can apply a proposal, on threads of their own: settings that break or delay the node's decisions must
 * not keep it from polling.
 */
final class ProposalChecker {
    private final PolicyService.Host host;
    private final PolicyFollower follower;

    ProposalChecker(PolicyService.Host host, PolicyFollower follower) {
        this.host = host;
        this.follower = follower;
    }

    /** Hands over, on another thread, why the node cannot apply a proposal, or an empty text if it can. */
    void check(PolicyVersion proposal, Consumer<String> onObjection) {
        runOnThread(() -> objection(proposal), onObjection);
    }

    /** Hands over, on another thread, what a proposal would change, a line each; {@code !} and why it cannot be applied. */
    void dryRun(PolicyVersion proposal, PolicySettings current, Consumer<String> onResult) {
        runOnThread(
                () -> {
                    String objection = objection(proposal);
                    return objection.isEmpty()
                            ? String.join("\n", current.differencesTo(follower.settingsWith(proposal)))
                            : "!" + objection;
                },
                onResult);
    }

    private static void runOnThread(Supplier<String> check, Consumer<String> onResult) {
        Thread thread = new Thread(() -> onResult.accept(check.get()), "spartrail-policy-check");
        thread.setDaemon(true);
        thread.start();
    }

    private String objection(PolicyVersion proposal) {
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
            // Whatever a rehearsal breaks with is a reason to refuse the proposal.
            return String.valueOf(e.getMessage());
        }
    }
}

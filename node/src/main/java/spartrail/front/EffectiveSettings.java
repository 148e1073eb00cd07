package spartrail.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.config.DeploymentFile;
import spartrail.coordination.Coordinator;
import spartrail.model.FleetView;
import spartrail.model.OpType;

/**
 * The settings that hold now, which a configuration read again or a policy version replaces, and what is known of the fleet.
 * Owned by the coordinator's thread.
 */
final class EffectiveSettings {
    /** Shared with the coordinator: where settings change, other op types take their places in it. */
    private final List<OpType> opTypes;

    private final Map<String, OpType> opTypesByName = new HashMap<>();
    private int maxInFlight;
    private int maxAttempts;
    private int configuredNodes;
    private FleetView fleetView;
    private String version;
    /** Null where no policy holds. */
    private ActivePolicy policy;
    /** The deployment of the policy that was applied last. */
    private DeploymentFile policyDeployment;

    EffectiveSettings(DeploymentFile deployment, List<OpType> opTypes) {
        this.opTypes = opTypes;
        this.fleetView = FleetView.fromSettings(deployment.frontNodes());
        take(deployment);
    }

    private void take(DeploymentFile deployment) {
        opTypes.forEach(opType -> opTypesByName.put(opType.name, opType));
        maxInFlight = deployment.maxInHand();
        maxAttempts = deployment.maxAttemptsPerPart();
        configuredNodes = deployment.frontNodes();
        version = deployment.version();
    }

    /** The coordinator goes by these settings from now on. */
    void apply(DeploymentFile changed, Coordinator coordinator) {
        changed.applyTo(coordinator, opTypes);
        take(changed);
        fleetView = fleetView.fromPeers() ? fleetView : FleetView.fromSettings(configuredNodes);
    }

    void setPolicy(ActivePolicy changed) {
        policy = changed;
    }

    /** Steps to the policy that holds at this time; its deployment if that is another one than was applied last, else null. */
    DeploymentFile switchPolicy(double nowMs) {
        while (policy != null && nowMs >= policy.untilMs()) {
            policy = policy.next();
        }
        if (policy == null || policy.deployment() == policyDeployment) {
            return null;
        }
        policyDeployment = policy.deployment();
        return policyDeployment;
    }

    void setFleetView(FleetView changed) {
        fleetView = changed;
    }

    /** How many front nodes the coordinator has to reckon with. */
    int frontNodes() {
        return fleetView.effectiveNodes(configuredNodes);
    }

    OpType opType(String name) {
        return opTypesByName.get(name);
    }

    /** Most multigets and parts, added up, that the node may have in flight. */
    int maxInFlight() {
        return maxInFlight;
    }

    /** Most attempts for one part. */
    int maxAttempts() {
        return maxAttempts;
    }

    /** What the record names as the deciding version: the policy, or the configuration where there is none. */
    String decidingVersion() {
        return policy == null ? version : policy.name();
    }
}

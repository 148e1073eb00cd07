package spartrail.front;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import spartrail.config.DeploymentFile;
import spartrail.coordination.Coordinator;
import spartrail.model.FleetView;
import spartrail.model.OpType;

/**
 * The settings in effect, which a reloaded configuration or a policy version replaces, and the view of the other front
 * nodes. Owned by the coordinator's thread.
 */
final class EffectiveSettings {
    /** Shared with the coordinator; changed settings replace the op types in this list. */
    private final List<OpType> opTypes;

    private final Map<String, OpType> opTypesByName = new HashMap<>();
    private int maxInFlight;
    private int maxAttempts;
    private int configuredNodes;
    private FleetView fleetView;
    private String version;
    /** Null where no policy is in effect. */
    private ActivePolicy policy;
    /** The deployment of the last applied policy. */
    private DeploymentFile policyDeployment;

    EffectiveSettings(DeploymentFile deployment, List<OpType> opTypes) {
        this.opTypes = opTypes;
        this.fleetView = FleetView.fromSettings(deployment.frontNodes());
        copyFrom(deployment);
    }

    private void copyFrom(DeploymentFile deployment) {
        opTypes.forEach(opType -> opTypesByName.put(opType.name, opType));
        maxInFlight = deployment.maxInFlight();
        maxAttempts = deployment.maxAttemptsPerPart();
        configuredNodes = deployment.frontNodes();
        version = deployment.version();
    }

    /** Applies changed settings, also to the coordinator. */
    void apply(DeploymentFile changed, Coordinator coordinator) {
        changed.applyTo(coordinator, opTypes);
        copyFrom(changed);
        fleetView = fleetView.fromPeers() ? fleetView : FleetView.fromSettings(configuredNodes);
    }

    void setPolicy(ActivePolicy changed) {
        policy = changed;
    }

    /**
     * Advances to the policy for this time; returns its deployment if that differs from the last applied one, else
     * null.
     */
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

    /** The number of front nodes that the coordinator assumes. */
    int frontNodes() {
        return fleetView.effectiveNodes(configuredNodes);
    }

    OpType opType(String name) {
        return opTypesByName.get(name);
    }

    /** The limit on multigets plus parts in flight. */
    int maxInFlight() {
        return maxInFlight;
    }

    /** The most attempts of one part. */
    int maxAttempts() {
        return maxAttempts;
    }

    /**
     * The version that the record names for a decision: that of the policy, or without one that of the configuration.
     */
    String decidingVersion() {
        return policy == null ? version : policy.name();
    }
}

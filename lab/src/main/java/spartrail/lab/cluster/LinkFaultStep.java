package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.Set;
import java.util.function.Predicate;
import java.util.function.Supplier;
import spartrail.lab.cluster.ClusterPlan.Step;
import spartrail.lab.file.InvalidInputException;

/** A step of a cluster plan that sets a fault on links between nodes, in one direction or in both. */
final class LinkFaultStep {
    private static final Set<String> ACTIONS_BOTH_WAYS = Set.of("cut", "link");
    private static final Set<String> ACTIONS_ONE_WAY = Set.of("one-way", "link-one-way");
    private static final Set<String> CUTTING_ACTIONS = Set.of("cut", "one-way");

    private final Step step;
    private final DatagramLinks links;
    private final boolean bothWays;

    /** Throws if the step's action is none on links. */
    LinkFaultStep(Step step, DatagramLinks links) {
        this.step = step;
        this.links = links;
        bothWays = ACTIONS_BOTH_WAYS.contains(step.action());
        if (!bothWays && !ACTIONS_ONE_WAY.contains(step.action())) {
            throw new InvalidInputException(
                    "step '" + step.name() + "': found the unknown action '" + step.action() + "'");
        }
    }

    void begin() {
        double heldUntilMs = links.nowMs() + step.parameters().path("heldMs").asDouble(0);
        setFaults(() -> buildFault(heldUntilMs));
    }

    void end() {
        setFaults(() -> null);
    }

    private DatagramLinks.Fault buildFault(double heldUntilMs) {
        JsonNode parameters = step.parameters();
        DatagramLinks.Fault fault = new DatagramLinks.Fault();
        fault.cut = CUTTING_ACTIONS.contains(step.action());
        fault.lossProbability = parameters.path("loss").asDouble(0);
        fault.delayMs = parameters.path("delayMs").asDouble(0);
        fault.jitterMs = parameters.path("jitterMs").asDouble(0);
        fault.duplicateProbability = parameters.path("twice").asDouble(0);
        fault.bitFlipProbability = parameters.path("flipped").asDouble(0);
        fault.maxBytes = parameters.path("mostBytes").asInt(Integer.MAX_VALUE);
        fault.bytesPerSecond = parameters.path("bytesPerS").asDouble(0);
        fault.messageKind = parameters.path("kind").asText(null);
        fault.heldUntilMs = parameters.has("heldMs") ? heldUntilMs : 0;
        return fault;
    }

    private void setFaults(Supplier<DatagramLinks.Fault> faults) {
        Predicate<Integer> isNearEnd = step.nodes()::contains;
        Predicate<Integer> isFarEnd = step.others().isEmpty() ? isNearEnd.negate() : step.others()::contains;
        links.setFaults(isNearEnd, isFarEnd, faults);
        if (bothWays) {
            links.setFaults(isFarEnd, isNearEnd, faults);
        }
    }
}

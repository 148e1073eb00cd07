package spartrail.lab.cluster;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.stream.Stream;
import spartrail.lab.cluster.ClusterHistory.Line;
import spartrail.lab.cluster.ClusterPlan.Step;
import spartrail.lab.experiment.NodeProcess;
import spartrail.lab.experiment.NodeSettings;
import spartrail.lab.experiment.Runner;
import spartrail.lab.file.Document;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.rules.PolicyRules;
import spartrail.lab.rules.RuleChecker;
import spartrail.policy.replication.AdminClient;
import spartrail.policy.replication.CrashPoint;

/**
 * Executes a cluster plan with real front node processes. A step is due at a time, after a matching line in a node's
 * history, or after another step. A step that waits for a history line has no time-out of its own: it waits until the
 * line appears or the plan ends, so no outcome depends on the length of a sleep. One thread runs the harness; links,
 * servers, load and nodes run on their own threads.
 */
public final class ClusterHarness implements AutoCloseable {
    /**
     * The results of a run.
     *
     * @param unexecutedSteps names of the steps whose trigger did not fire
     * @param policyRecords the policy version that decided each recorded multiget
     * @param elapsedMs how long the run took
     */
    public record Outcome(
            ClusterHistory history,
            RuleChecker rules,
            ObjectNode load,
            ObjectNode servers,
            List<ObjectNode> nodes,
            List<String> unexecutedSteps,
            List<Step> executedSteps,
            List<PolicyRules.MultigetDecision> policyRecords,
            double elapsedMs) {}

    private static final double POLL_INTERVAL_MS = 5;
    /** Longest delay between the harness signalling a process and the process ending or resuming. */
    private static final double TOLERANCE_MS = 500;

    private static final double MEMBERSHIP_TIMEOUT_MS = 20_000;
    private static final double DEFAULT_CORE_SHARE = 0.05;
    private static final double DEFAULT_FLOOD_PER_S = 2000;

    /** A step that has not been executed yet, with the number of history lines that matched its trigger so far. */
    private static final class PendingStep {
        final Step step;
        int observations;
        /** The node whose history line fired the trigger, -1 before that. */
        int observedNode = -1;

        /** Time since the start of the run at which the step is due; NaN until its trigger has fired. */
        double dueMs;

        PendingStep(Step step) {
            this.step = step;
            this.dueMs = step.trigger().atMs() >= 0 ? step.trigger().atMs() : Double.NaN;
        }
    }

    private record ScheduledAction(double atMs, Runnable action) {}

    private final ClusterPlan plan;
    private final Path folder;
    private final Consumer<String> progress;
    private final Fleet fleet;
    private final RuleChecker checker;
    private final ClusterHistory history = new ClusterHistory();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<LoadPlan.Target> targets = new ArrayList<>();
    private final DatagramLinks links;
    private final List<ScheduledAction> scheduledActions = new ArrayList<>();
    /** Time since the start of the run at which each step was executed, by step name. */
    private final Map<String, Double> executedAtMs = new HashMap<>();

    private final List<NodeThrottle> throttles = new ArrayList<>();
    private final List<DatagramFlood> floods = new ArrayList<>();
    private final List<Integer> peerPorts = new ArrayList<>();
    private OperatorCommands operatorCommands;
    /** Executed steps, each with its actual time and the nodes that it affected. */
    private final List<Step> executedSteps = new ArrayList<>();

    /** Nodes whose process the harness ended, or whose exit it has recorded. */
    private final Set<Integer> endedNodes = new HashSet<>();

    private int leader = -1;
    /** The fleet clock's time of the last check at which every node outside {@link #endedNodes} was running. */
    private double lastCheckedMs;

    private double startMs;

    /** Starts servers, links and processes. Returns when all nodes serve and, where they gossip, know each other. */
    public ClusterHarness(ClusterPlan plan, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        this.plan = plan;
        this.folder = folder;
        this.progress = progress;
        this.checker = new RuleChecker(plan.settings().terms());
        this.fleet = new Fleet(
                plan.fleet().withSeedAndNodes(plan.seed(), plan.nodes()),
                Runner.watching(checker, (event, atMs) -> progress.accept("servers: " + event)));
        DatagramLinks newLinks = null;
        try {
            for (int node = 0; node < plan.nodes(); node++) {
                peerPorts.add(NodeProcess.freePort());
            }
            newLinks = new DatagramLinks(peerPorts, "rig", plan.seed());
            launchNodes(newLinks);
        } catch (IOException | InterruptedException | RuntimeException e) {
            nodes.forEach(NodeProcess::close);
            fleet.close();
            if (newLinks != null) {
                newLinks.close();
            }
            throw e;
        }
        this.links = newLinks;
        startMs = currentTimeMs();
        awaitFullMembership();
        startMs = currentTimeMs();
    }

    private void launchNodes(DatagramLinks newLinks) throws IOException, InterruptedException {
        List<String> zones = NodeSettings.zones(plan.fleet());
        List<String> seeds = Stream.iterate(0, node -> node + 1)
                .limit(Math.min(plan.seeds(), plan.nodes()))
                .map(newLinks::address)
                .toList();
        for (int node = 0; node < plan.nodes(); node++) {
            int port = NodeProcess.freePort();
            targets.add(new LoadPlan.Target("127.0.0.1", port, zones.get(node % zones.size())));
            Path peersFile = null;
            Path historyFile = null;
            Path stateFolder = null;
            if (plan.hasPolicy()) {
                stateFolder = folder.resolve("n" + node + ".state");
                if (plan.voters().contains("n" + node)) {
                    AdminClient.bootstrap(stateFolder, "rig", "n" + node, plan.voters());
                }
            }
            if (plan.peers() != null) {
                peersFile = folder.resolve("n" + node + ".peers.json");
                historyFile = folder.resolve("n" + node + ".history");
                Files.writeString(
                        peersFile,
                        plan.buildPeersFile(node, "127.0.0.1:" + peerPorts.get(node), newLinks.address(node), seeds)
                                .toPrettyString());
                history.follow(node, historyFile);
            }
            history.recordHarnessEvent("started", nodesField(node));
            ObjectNode config = plan.settings().config(node, plan.nodes(), "127.0.0.1:" + port, fleet, plan.seed());
            if (plan.nodeOverrides().has("n" + node)) {
                ConfigPush.applySettings(config, plan.nodeOverrides().get("n" + node));
            }
            nodes.add(NodeProcess.launched(
                    NodeProcess.ownJar(),
                    config,
                    folder,
                    "n" + node,
                    plan.settings().memoryMb(),
                    new NodeProcess.Extras(
                            null, peersFile, historyFile, stateFolder, folder.resolve("n" + node + ".record"))));
        }
        for (NodeProcess node : nodes) {
            node.awaitReady();
        }
        if (plan.hasPolicy()) {
            operatorCommands = new OperatorCommands(history, peerPorts, address -> {
                for (int node = 0; node < plan.nodes(); node++) {
                    if (newLinks.address(node).equals(address)) {
                        return "127.0.0.1:" + peerPorts.get(node);
                    }
                }
                return address;
            });
        }
        progress.accept(plan.nodes() + " nodes are ready to serve");
    }

    private static ObjectNode nodesField(int node) {
        ObjectNode tree = Document.JSON.createObjectNode();
        tree.putArray("nodes").add("n" + node);
        return tree;
    }

    private static double currentTimeMs() {
        return System.nanoTime() / 1e6;
    }

    private double elapsedMs() {
        return currentTimeMs() - startMs;
    }

    /** Waits until every node reports all nodes of the plan as present and is not in doubt about its own view. */
    private void awaitFullMembership() throws IOException, InterruptedException {
        if (plan.peers() == null) {
            return;
        }
        Set<Integer> nodesWithFullView = new HashSet<>();
        while (nodesWithFullView.size() < plan.nodes()) {
            for (Line line : history.readNewLines()) {
                updateLeader(line);
                if (line.event().equals("view")) {
                    if (line.tree().get("there").asInt() == plan.nodes()
                            && line.tree().get("doubt").asText().isEmpty()) {
                        nodesWithFullView.add(line.node());
                    } else {
                        nodesWithFullView.remove(line.node());
                    }
                }
            }
            if (elapsedMs() > MEMBERSHIP_TIMEOUT_MS) {
                throw new IOException("after " + MEMBERSHIP_TIMEOUT_MS / 1000 + " s only " + nodesWithFullView.size()
                        + " of " + plan.nodes() + " nodes know all others; the logs of the nodes are in " + folder);
            }
            sleepPollInterval();
        }
        progress.accept("all nodes know each other after " + Math.round(elapsedMs()) + " ms");
    }

    private void updateLeader(Line line) {
        if (line.event().equals("leads")) {
            leader = line.tree().get("on").asBoolean() ? line.node() : leader == line.node() ? -1 : leader;
        }
    }

    private static void sleepPollInterval() throws InterruptedException {
        Thread.sleep((long) POLL_INTERVAL_MS);
    }

    /** Executes the steps under load until the plan ends. */
    public Outcome play() throws IOException, InterruptedException {
        List<PendingStep> pendingSteps = new ArrayList<>();
        plan.steps().forEach(step -> pendingSteps.add(new PendingStep(step)));
        LoadPlan load = plan.load() == null ? null : plan.load().withTargets(targets);
        history.recordHarnessEvent("begins", Document.JSON.createObjectNode());
        startMs = currentTimeMs();
        fleet.startScript();
        try (LoadSession session =
                load == null ? null : new LoadSession(load, load.arrivals(), load.durationMs(), checker)) {
            double reportedMs = 0;
            while (elapsedMs() < plan.durationMs()
                    && !executedAtMs.containsKey(String.valueOf(plan.endStep()))
                    && !("all".equals(plan.endStep()) && pendingSteps.isEmpty())) {
                poll(pendingSteps);
                if (elapsedMs() - reportedMs > 10_000) {
                    reportedMs = elapsedMs();
                    progress.accept(
                            Math.round(reportedMs / 1000) + " s of " + Math.round(plan.durationMs() / 1000) + " s");
                }
                sleepPollInterval();
            }
            if (session != null) {
                session.await(15_000);
            }
            poll(List.of());
            return buildOutcome(session, pendingSteps);
        }
    }

    private Outcome buildOutcome(LoadSession session, List<PendingStep> pendingSteps) {
        List<ObjectNode> nodeReports = new ArrayList<>();
        for (int node = 0; node < nodes.size(); node++) {
            boolean alive = nodes.get(node).handle().isAlive();
            nodeReports.add(Document.JSON
                    .createObjectNode()
                    .put("name", "n" + node)
                    .put("alive", alive)
                    .put("cpuMs", alive ? Math.round(nodes.get(node).cpuMs()) : 0)
                    .put("memoryMb", alive ? Math.round(nodes.get(node).memoryMb()) : 0)
                    .put("sentBytes", links.sentBytes(node))
                    .put("sentMessages", links.sentMessages(node)));
        }
        ObjectNode servers = fleet.figures();
        servers.forEach(
                server -> checker.recordColdLoad(server.path("worstColdLoad").asDouble()));
        return new Outcome(
                history,
                checker,
                session == null ? null : session.report(),
                servers,
                nodeReports,
                pendingSteps.stream().map(each -> each.step.name()).toList(),
                List.copyOf(executedSteps),
                readPolicyRecords(),
                elapsedMs());
    }

    /** Reads which policy version decided each multiget, from the records of every incarnation of every node. */
    private List<PolicyRules.MultigetDecision> readPolicyRecords() {
        List<PolicyRules.MultigetDecision> policyRecords = new ArrayList<>();
        for (int node = 0; node < nodes.size(); node++) {
            for (int incarnation = 0;
                    Files.exists(folder.resolve("n" + node + ".record." + incarnation));
                    incarnation++) {
                try {
                    for (String line : Files.readAllLines(folder.resolve("n" + node + ".record." + incarnation))) {
                        // A line that a kill has truncated is skipped.
                        if (line.endsWith("}") && line.contains("\"policy\"")) {
                            JsonNode tree = Document.JSON.readTree(line);
                            policyRecords.add(new PolicyRules.MultigetDecision(
                                    tree.get("ns").asLong(),
                                    node,
                                    incarnation,
                                    tree.get("policy").asText()));
                        }
                    }
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            }
        }
        return policyRecords;
    }

    /** Reads new history lines, then runs the scheduled actions and the steps that are due. */
    private void poll(List<PendingStep> pendingSteps) throws IOException, InterruptedException {
        for (Line line : history.readNewLines()) {
            updateLeader(line);
            for (PendingStep pendingStep : pendingSteps) {
                matchTrigger(pendingStep, line);
            }
        }
        recordUnexpectedExits();
        for (ScheduledAction scheduled : List.copyOf(scheduledActions)) {
            if (scheduled.atMs <= elapsedMs()) {
                scheduledActions.remove(scheduled);
                scheduled.action.run();
            }
        }
        for (PendingStep pendingStep : List.copyOf(pendingSteps)) {
            String afterStep = pendingStep.step.trigger().afterStep();
            if (Double.isNaN(pendingStep.dueMs)
                    && afterStep != null
                    && !pendingStep.step.trigger().waitsForObservation()
                    && executedAtMs.containsKey(afterStep)) {
                pendingStep.dueMs =
                        executedAtMs.get(afterStep) + pendingStep.step.trigger().delayMs();
            }
            if (pendingStep.dueMs <= elapsedMs()) {
                pendingSteps.remove(pendingStep);
                executedAtMs.put(pendingStep.step.name(), elapsedMs());
                execute(resolveNodes(pendingStep));
            }
        }
    }

    /** Replaces the plan's words for nodes (leader, follower, seen, down) with the nodes that they stand for now. */
    private Step resolveNodes(PendingStep pendingStep) {
        List<Integer> nodeNumbers = new ArrayList<>();
        for (int node : pendingStep.step.nodes()) {
            if (node >= 0) {
                nodeNumbers.add(node);
            } else if (node == ClusterPlan.LEADER || node == ClusterPlan.FOLLOWER) {
                plan.voters().stream()
                        .map(name -> Integer.parseInt(name.substring(1)))
                        .filter(voter -> (voter == leader) == (node == ClusterPlan.LEADER))
                        .filter(voter -> nodes.get(voter).handle().isAlive())
                        .findFirst()
                        .ifPresent(nodeNumbers::add);
            } else if (node == ClusterPlan.OBSERVED && pendingStep.observedNode >= 0) {
                nodeNumbers.add(pendingStep.observedNode);
            } else if (node == ClusterPlan.DOWN) {
                for (int down = 0; down < nodes.size(); down++) {
                    if (!nodes.get(down).handle().isAlive()) {
                        nodeNumbers.add(down);
                    }
                }
            }
        }
        Step step = pendingStep.step;
        return new Step(
                step.name(),
                step.trigger(),
                step.action(),
                nodeNumbers,
                step.others(),
                step.durationMs(),
                step.parameters());
    }

    private static boolean hasValues(Line line, JsonNode values) {
        for (var fields = values.fields(); fields.hasNext(); ) {
            var field = fields.next();
            JsonNode found = field.getKey().equals("what")
                    ? com.fasterxml.jackson.databind.node.TextNode.valueOf(line.event())
                    : line.tree().path(field.getKey());
            if (!found.asText().equals(field.getValue().asText())) {
                return false;
            }
        }
        return true;
    }

    /** Records processes that exited without the harness ending them: they have reached an armed crash point. */
    private void recordUnexpectedExits() {
        double previousCheckMs = lastCheckedMs;
        lastCheckedMs = fleet.loop().nowMs();
        for (int node = 0; node < nodes.size(); node++) {
            if (!endedNodes.contains(node) && !nodes.get(node).handle().isAlive()) {
                endedNodes.add(node);
                double nowMs = fleet.loop().nowMs();
                checker.excuse(targets.get(node).toString(), previousCheckMs - POLL_INTERVAL_MS, nowMs + TOLERANCE_MS);
                history.recordHarnessEvent("killed", nodesField(node));
            }
        }
    }

    private void matchTrigger(PendingStep pendingStep, Line line) {
        ClusterPlan.Trigger trigger = pendingStep.step.trigger();
        if (!trigger.waitsForObservation()
                || !Double.isNaN(pendingStep.dueMs)
                || trigger.afterStep() != null && !executedAtMs.containsKey(trigger.afterStep())) {
            return;
        }
        if (trigger.lineValues() != null) {
            String writer = line.node() < 0 ? "rig" : "n" + line.node();
            if ((trigger.observer().equals("any") || trigger.observer().equals(writer))
                    && hasValues(line, trigger.lineValues())
                    && ++pendingStep.observations >= trigger.count()) {
                pendingStep.observedNode = line.node();
                pendingStep.dueMs = elapsedMs() + trigger.delayMs();
            }
            return;
        }
        if (!line.event().equals("standing")
                || line.node() < 0
                || !trigger.observer().equals("any")
                        && !trigger.observer().equals(line.tree().get("node").asText())
                || trigger.subject() != null
                        && !trigger.subject().equals(line.tree().get("of").asText())
                || trigger.state() != null
                        && !trigger.state().equals(line.tree().get("is").asText())) {
            return;
        }
        if (++pendingStep.observations >= trigger.count()) {
            pendingStep.observedNode = line.node();
            pendingStep.dueMs = elapsedMs() + trigger.delayMs();
        }
    }

    // ---- Executing steps ----

    private void execute(Step step) throws IOException, InterruptedException {
        executedSteps.add(new Step(
                step.name(),
                new ClusterPlan.Trigger(elapsedMs(), null, null, null, null, 1, null, 0),
                step.action(),
                step.nodes(),
                step.others(),
                step.durationMs(),
                step.parameters()));
        progress.accept("executing " + step.action() + " on "
                + step.nodes().stream().map(node -> "n" + node).toList()
                + (step.others().isEmpty()
                        ? ""
                        : " with far ends "
                                + step.others().stream().map(node -> "n" + node).toList()));
        switch (step.action()) {
            case "kill" -> kill(step);
            case "terminate" -> terminate(step);
            case "start" -> start(step);
            case "stop" -> suspend(step);
            case "slow" -> throttle(step);
            case "flood" -> flood(step);
            case "propose" -> operatorCommands.propose(
                    step.name(), firstNode(step, 0), step.parameters().get("settings"));
            case "abort" -> operatorCommands.abort(
                    step.name(),
                    firstNode(step, 0),
                    step.parameters().path("number").asLong());
            case "push" -> schedulePush(step);
            case "abandon" -> recordStep(step, "abandoned");
            case "harm" -> harmDisks(step);
            case "crash" -> operatorCommands.armCrashPoint(
                    step.name(),
                    firstNode(step, leader),
                    step.parameters().path("point").asText());
            case "heal" -> healLinks(step);
            default -> setLinkFault(step);
        }
    }

    private static int firstNode(Step step, int nodeIfNone) {
        return step.nodes().isEmpty() ? nodeIfNone : step.nodes().get(0);
    }

    private void kill(Step step) throws IOException, InterruptedException {
        tolerateOutage(step, 0);
        endedNodes.addAll(step.nodes());
        for (int node : step.nodes()) {
            nodes.get(node).handle().destroyForcibly();
        }
        for (int node : step.nodes()) {
            nodes.get(node).awaitEnd(10);
        }
        recordStep(step, "killed");
    }

    private void terminate(Step step) {
        recordStep(step, "asked to end");
        endedNodes.addAll(step.nodes());
        step.nodes().forEach(node -> nodes.get(node).terminate());
    }

    private void start(Step step) throws IOException, InterruptedException {
        recordStep(step, "started");
        for (int i = 0; i < step.nodes().size(); i++) {
            int node = step.nodes().get(i);
            if (plan.peers() != null && step.parameters().has("as")) {
                setPeerName(node, step.parameters().get("as").get(i).asText());
            }
            nodes.get(node).launch(machineOptions(step.parameters()));
            endedNodes.remove(node);
        }
    }

    private void suspend(Step step) throws IOException, InterruptedException {
        tolerateOutage(step, durationOrRestOfRunMs(step));
        for (int node : step.nodes()) {
            nodes.get(node).stop(true);
        }
        recordStep(step, "stopped");
        scheduleEnd(
                step, "goes on", () -> forEachNode(step, node -> nodes.get(node).stop(false)));
    }

    private void throttle(Step step) {
        tolerateOutage(step, durationOrRestOfRunMs(step));
        recordStep(step, "slowed");
        NodeThrottle throttle = new NodeThrottle(
                step.nodes().stream().map(nodes::get).toList(),
                step.parameters().path("share").asDouble(DEFAULT_CORE_SHARE),
                problem -> progress.accept(
                        "step " + step.name() + " cannot slow its nodes: " + problem + "; it stops slowing them"));
        throttles.add(throttle);
        scheduleEnd(step, "quick again", throttle::close);
    }

    private double durationOrRestOfRunMs(Step step) {
        return step.durationMs() > 0 ? step.durationMs() : plan.durationMs();
    }

    private void flood(Step step) throws IOException {
        recordStep(step, "flooded");
        DatagramFlood flood = new DatagramFlood(
                step.parameters().path("perS").asDouble(DEFAULT_FLOOD_PER_S),
                step.parameters().path("manner").asText("names"),
                step.nodes().stream().map(node -> portOf(links.address(node))).toList(),
                "rig",
                plan.seed());
        floods.add(flood);
        scheduleEnd(step, "flood ends", flood::close);
    }

    private void harmDisks(Step step) throws IOException {
        for (int node : step.nodes()) {
            DiskFault.apply(folder, node, step.parameters().path("harm").asText());
        }
        recordStep(step, "harmed");
    }

    private void healLinks(Step step) {
        links.setFaults(node -> true, node -> true, () -> null);
        recordStep(step, "healed");
    }

    private void setLinkFault(Step step) {
        LinkFaultStep linkFault = new LinkFaultStep(step, links);
        linkFault.begin();
        recordStep(step, step.action());
        scheduleEnd(step, step.action() + " ends", linkFault::end);
    }

    /**
     * Changes policy without the agreed log: writes each node's configuration file and sends SIGHUP, node after node. A
     * node that is down is skipped, as a deployment script would do.
     */
    private void schedulePush(Step step) throws IOException {
        recordStep(step, "pushed");
        double atMs = 0;
        for (int node : step.nodes()) {
            scheduledActions.add(new ScheduledAction(
                    elapsedMs() + atMs,
                    () -> forEachNode(
                            new Step(
                                    step.name(),
                                    step.trigger(),
                                    "push",
                                    List.of(node),
                                    List.of(),
                                    0,
                                    step.parameters()),
                            target -> {
                                if (nodes.get(target).handle().isAlive()) {
                                    ConfigPush.writeConfig(
                                            nodes.get(target).config(),
                                            step.parameters().get("settings"),
                                            step.parameters().path("number").asLong());
                                    nodes.get(target).hangUp();
                                }
                            })));
            atMs += step.parameters().path("gapMs").asDouble(0);
        }
    }

    private static int portOf(String address) {
        return Integer.parseInt(address.substring(address.indexOf(':') + 1));
    }

    /**
     * Excludes the step's nodes from the rule checks for this long: the harness itself causes their missing responses.
     */
    private void tolerateOutage(Step step, double durationMs) {
        double nowMs = fleet.loop().nowMs();
        step.nodes()
                .forEach(node -> checker.excuse(
                        targets.get(node).toString(), nowMs - POLL_INTERVAL_MS, nowMs + durationMs + TOLERANCE_MS));
    }

    private interface NodeAction {
        void apply(int node) throws IOException, InterruptedException;
    }

    private static void forEachNode(Step step, NodeAction action) {
        for (int node : step.nodes()) {
            try {
                action.apply(node);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** Gives the node another peer name, which applies from its next start on. */
    private void setPeerName(int node, String name) throws IOException {
        Path file = folder.resolve("n" + node + ".peers.json");
        Files.writeString(
                file,
                ((ObjectNode) Document.JSON.readTree(Files.readString(file)))
                        .put("name", name)
                        .toPrettyString());
    }

    /**
     * JVM options that emulate machine faults: an offset of the wall clock, the pace of the node's own clock, a crash
     * point and a limit on disk space.
     */
    private static List<String> machineOptions(JsonNode parameters) {
        List<String> options = new ArrayList<>(List.of("-D" + CrashPoint.ENABLING_PROPERTY + "=true"));
        if (parameters.has("clock")) {
            options.add("-Dspartrail.clock.aheadMs="
                    + parameters.get("clock").path("aheadMs").asLong(0));
            options.add("-Dspartrail.clock.pace="
                    + parameters.get("clock").path("pace").asDouble(1));
        }
        if (parameters.has("point")) {
            options.add("-Dspartrail.crash.at=" + parameters.get("point").asText());
        }
        if (parameters.has("disk")) {
            options.add("-Dspartrail.disk.mostBytes="
                    + parameters.get("disk").path("mostBytes").asLong());
        }
        return options;
    }

    private void recordStep(Step step, String event) {
        ObjectNode tree = Document.JSON.createObjectNode().put("step", step.name());
        var names = tree.putArray("nodes");
        step.nodes().forEach(node -> names.add("n" + node));
        if (step.parameters().has("number")) {
            tree.set("number", step.parameters().get("number"));
        }
        if (step.parameters().has("as")) {
            tree.set("as", step.parameters().get("as"));
        }
        var others = tree.putArray("others");
        step.others().forEach(node -> others.add("n" + node));
        history.recordHarnessEvent(event, tree);
    }

    private void scheduleEnd(Step step, String event, Runnable action) {
        if (step.durationMs() > 0) {
            scheduledActions.add(new ScheduledAction(elapsedMs() + step.durationMs(), () -> {
                action.run();
                recordStep(step, event);
                progress.accept(event + ": "
                        + step.nodes().stream().map(node -> "n" + node).toList());
            }));
        }
    }

    public String readLog(int node) throws IOException {
        return Files.readString(folder.resolve("n" + node + ".log"));
    }

    @Override
    public void close() {
        throttles.forEach(NodeThrottle::close);
        floods.forEach(DatagramFlood::close);
        if (operatorCommands != null) {
            operatorCommands.close();
        }
        // A suspended process cannot end by itself.
        for (NodeProcess node : nodes) {
            node.handle().destroyForcibly();
        }
        nodes.forEach(NodeProcess::close);
        links.close();
        fleet.close();
    }
}

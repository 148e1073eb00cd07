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
import spartrail.lab.file.InvalidInputException;
import spartrail.lab.fleet.Fleet;
import spartrail.lab.load.LoadSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.lab.rules.PolicyRules;
import spartrail.lab.rules.RuleChecker;
import spartrail.policy.replication.AdminClient;
import spartrail.policy.replication.CrashPoint;

/**
 * Plays a plan with processes. Steps are tied to times, to what nodes say in their histories, or to other steps; who waits for
 * something to be seen waits until it is, or the plan is over, so that no sleep decides. Run by one thread; links, servers,
 * load and the nodes have theirs.
 */
public final class ClusterHarness implements AutoCloseable {
    /** What was seen of a run, beside the history. */
    public record Outcome(
            ClusterHistory history,
            RuleChecker rules,
            ObjectNode load,
            ObjectNode servers,
            List<ObjectNode> nodes,
            List<String> notTaken,
            List<Step> done,
            List<PolicyRules.MultigetDecision> taken,
            double lastedMs) {}

    private static final double LOOK_MS = 5;
    /** A process is ended, or goes on, so much later at the most than the rig asks for it. */
    private static final double EXCUSED_MS = 500;

    private static final double KNOWN_WITHIN_MS = 20_000;

    /** A step that has not been taken yet, and how often what it waits for was seen. */
    private static final class Pending {
        final Step step;
        int seen;
        int who = -1;
        double dueMs;

        Pending(Step step) {
            this.step = step;
            this.dueMs = step.when().atMs() >= 0 ? step.when().atMs() : Double.NaN;
        }
    }

    private record Due(double atMs, Runnable what) {}

    private final ClusterPlan plan;
    private final Path folder;
    private final Consumer<String> progress;
    private final Fleet fleet;
    private final RuleChecker checker;
    private final ClusterHistory history = new ClusterHistory();
    private final List<NodeProcess> nodes = new ArrayList<>();
    private final List<LoadPlan.Target> targets = new ArrayList<>();
    private final DatagramLinks links;
    private final List<Due> dues = new ArrayList<>();
    private final Map<String, Double> taken = new HashMap<>();
    private final Set<Integer> slowed = new HashSet<>();
    private final List<DatagramFlood> floods = new ArrayList<>();
    private final List<Integer> talkPorts = new ArrayList<>();
    private OperatorCommands orders;
    /** Steps as they were taken: when, and whom they concerned. */
    private final List<Step> steps = new ArrayList<>();

    private final Set<Integer> over = new HashSet<>();
    private int leader = -1;
    /** All that are not known to be over ran then. */
    private double aliveMs;

    private double startMs;

    /** Starts servers, links and processes; returns when all nodes serve, and, where they talk, know each other. */
    public ClusterHarness(ClusterPlan plan, Path folder, Consumer<String> progress)
            throws IOException, InterruptedException {
        this.plan = plan;
        this.folder = folder;
        this.progress = progress;
        this.checker = new RuleChecker(plan.settings().terms());
        this.fleet = new Fleet(
                plan.fleet().varied(plan.seed(), plan.nodes()),
                Runner.watching(checker, (what, atMs) -> progress.accept("servers: " + what)));
        DatagramLinks made = null;
        try {
            for (int node = 0; node < plan.nodes(); node++) {
                talkPorts.add(NodeProcess.freePort());
            }
            made = new DatagramLinks(talkPorts, "rig", plan.seed());
            launch(made);
        } catch (IOException | InterruptedException | RuntimeException e) {
            nodes.forEach(NodeProcess::close);
            fleet.close();
            if (made != null) {
                made.close();
            }
            throw e;
        }
        this.links = made;
        startMs = now();
        awaitKnown();
        startMs = now();
    }

    private void launch(DatagramLinks made) throws IOException, InterruptedException {
        List<String> zones = NodeSettings.zones(plan.fleet());
        List<String> seeds = Stream.iterate(0, node -> node + 1)
                .limit(Math.min(plan.seeds(), plan.nodes()))
                .map(made::address)
                .toList();
        for (int node = 0; node < plan.nodes(); node++) {
            int port = NodeProcess.freePort();
            targets.add(new LoadPlan.Target("127.0.0.1", port, zones.get(node % zones.size())));
            Path peers = null;
            Path kept = null;
            Path state = null;
            if (plan.policy()) {
                state = folder.resolve("n" + node + ".state");
                if (plan.deciders().contains("n" + node)) {
                    AdminClient.bootstrap(state, "rig", "n" + node, plan.deciders());
                }
            }
            if (plan.peers() != null) {
                peers = folder.resolve("n" + node + ".peers.json");
                kept = folder.resolve("n" + node + ".history");
                Files.writeString(
                        peers,
                        plan.peersFile(node, "127.0.0.1:" + talkPorts.get(node), made.address(node), seeds)
                                .toPrettyString());
                history.follow(node, kept);
            }
            history.done("started", whom(node));
            ObjectNode config = plan.settings().config(node, plan.nodes(), "127.0.0.1:" + port, fleet, plan.seed());
            if (plan.own().has("n" + node)) {
                ConfigPush.change(config, plan.own().get("n" + node));
            }
            nodes.add(NodeProcess.launched(
                    NodeProcess.ownJar(),
                    config,
                    folder,
                    "n" + node,
                    plan.settings().memoryMb(),
                    new NodeProcess.Extras(null, peers, kept, state, folder.resolve("n" + node + ".record"))));
        }
        for (NodeProcess node : nodes) {
            node.awaitReady();
        }
        if (plan.policy()) {
            orders = new OperatorCommands(history, talkPorts, address -> {
                for (int node = 0; node < plan.nodes(); node++) {
                    if (made.address(node).equals(address)) {
                        return "127.0.0.1:" + talkPorts.get(node);
                    }
                }
                return address;
            });
        }
        progress.accept(plan.nodes() + " nodes serve");
    }

    private static ObjectNode whom(int node) {
        ObjectNode tree = Document.JSON.createObjectNode();
        tree.putArray("nodes").add("n" + node);
        return tree;
    }

    private static double now() {
        return System.nanoTime() / 1e6;
    }

    private double sinceMs() {
        return now() - startMs;
    }

    /** Until every node says that so many are there. */
    private void awaitKnown() throws IOException, InterruptedException {
        if (plan.peers() == null) {
            return;
        }
        Set<Integer> knowing = new HashSet<>();
        while (knowing.size() < plan.nodes()) {
            for (Line line : history.more()) {
                leads(line);
                if (line.what().equals("view")) {
                    if (line.tree().get("there").asInt() == plan.nodes()
                            && line.tree().get("doubt").asText().isEmpty()) {
                        knowing.add(line.node());
                    } else {
                        knowing.remove(line.node());
                    }
                }
            }
            if (sinceMs() > KNOWN_WITHIN_MS) {
                throw new IOException("after " + KNOWN_WITHIN_MS / 1000 + " s only " + knowing.size() + " of "
                        + plan.nodes() + " nodes know all others; their logs are in " + folder);
            }
            pause();
        }
        progress.accept("all nodes know each other after " + Math.round(sinceMs()) + " ms");
    }

    private void leads(Line line) {
        if (line.what().equals("leads")) {
            leader = line.tree().get("on").asBoolean() ? line.node() : leader == line.node() ? -1 : leader;
        }
    }

    private static void pause() throws InterruptedException {
        Thread.sleep((long) LOOK_MS);
    }

    /** Plays all steps under load, to the plan's end. */
    public Outcome play() throws IOException, InterruptedException {
        List<Pending> pending = new ArrayList<>();
        plan.steps().forEach(step -> pending.add(new Pending(step)));
        LoadPlan load = plan.load() == null ? null : plan.load().withTargets(targets);
        history.done("begins", Document.JSON.createObjectNode());
        startMs = now();
        fleet.play();
        try (LoadSession session =
                load == null ? null : new LoadSession(load, load.arrivals(), load.durationMs(), checker)) {
            double toldMs = 0;
            while (sinceMs() < plan.lastsMs()
                    && !taken.containsKey(String.valueOf(plan.ends()))
                    && !("all".equals(plan.ends()) && pending.isEmpty())) {
                look(pending);
                if (sinceMs() - toldMs > 10_000) {
                    toldMs = sinceMs();
                    progress.accept(Math.round(toldMs / 1000) + " s of " + Math.round(plan.lastsMs() / 1000) + " s");
                }
                pause();
            }
            if (session != null) {
                session.await(15_000);
            }
            look(List.of());
            return outcome(session, pending);
        }
    }

    private Outcome outcome(LoadSession session, List<Pending> pending) {
        List<ObjectNode> figures = new ArrayList<>();
        for (int node = 0; node < nodes.size(); node++) {
            boolean alive = nodes.get(node).handle().isAlive();
            figures.add(Document.JSON
                    .createObjectNode()
                    .put("name", "n" + node)
                    .put("alive", alive)
                    .put("cpuMs", alive ? Math.round(nodes.get(node).cpuMs()) : 0)
                    .put("memoryMb", alive ? Math.round(nodes.get(node).memoryMb()) : 0)
                    .put("sentBytes", links.bytes(node))
                    .put("sentMessages", links.messages(node)));
        }
        ObjectNode servers = fleet.figures();
        servers.forEach(
                server -> checker.recordColdLoad(server.path("worstColdLoad").asDouble()));
        return new Outcome(
                history,
                checker,
                session == null ? null : session.report(),
                servers,
                figures,
                pending.stream().map(each -> each.step.name()).toList(),
                List.copyOf(steps),
                records(),
                sinceMs());
    }

    /** By what every life of every node decided its multigets. */
    private List<PolicyRules.MultigetDecision> records() {
        List<PolicyRules.MultigetDecision> all = new ArrayList<>();
        for (int node = 0; node < nodes.size(); node++) {
            for (int life = 0; Files.exists(folder.resolve("n" + node + ".record." + life)); life++) {
                try {
                    for (String line : Files.readAllLines(folder.resolve("n" + node + ".record." + life))) {
                        // A line torn by a kill is none.
                        if (line.endsWith("}") && line.contains("\"policy\"")) {
                            JsonNode tree = Document.JSON.readTree(line);
                            all.add(new PolicyRules.MultigetDecision(
                                    tree.get("ns").asLong(),
                                    node,
                                    life,
                                    tree.get("policy").asText()));
                        }
                    }
                } catch (IOException e) {
                    throw new java.io.UncheckedIOException(e);
                }
            }
        }
        return all;
    }

    /** Reads what nodes have written and takes the steps whose time has come. */
    private void look(List<Pending> pending) throws IOException, InterruptedException {
        for (Line line : history.more()) {
            leads(line);
            for (Pending each : pending) {
                saw(each, line);
            }
        }
        lost();
        for (Due due : List.copyOf(dues)) {
            if (due.atMs <= sinceMs()) {
                dues.remove(due);
                due.what.run();
            }
        }
        for (Pending each : List.copyOf(pending)) {
            String after = each.step.when().step();
            if (Double.isNaN(each.dueMs) && after != null && !each.step.when().seen() && taken.containsKey(after)) {
                each.dueMs = taken.get(after) + each.step.when().afterMs();
            }
            if (each.dueMs <= sinceMs()) {
                pending.remove(each);
                taken.put(each.step.name(), sinceMs());
                take(whom(each));
            }
        }
    }

    /** Whom a step concerns, now that it is taken. */
    private Step whom(Pending each) {
        List<Integer> whom = new ArrayList<>();
        for (int node : each.step.nodes()) {
            if (node >= 0) {
                whom.add(node);
            } else if (node == ClusterPlan.LEADER || node == ClusterPlan.FOLLOWER) {
                plan.deciders().stream()
                        .map(name -> Integer.parseInt(name.substring(1)))
                        .filter(decider -> (decider == leader) == (node == ClusterPlan.LEADER))
                        .filter(decider -> nodes.get(decider).handle().isAlive())
                        .findFirst()
                        .ifPresent(whom::add);
            } else if (node == ClusterPlan.SEEN && each.who >= 0) {
                whom.add(each.who);
            } else if (node == ClusterPlan.DOWN) {
                for (int down = 0; down < nodes.size(); down++) {
                    if (!nodes.get(down).handle().isAlive()) {
                        whom.add(down);
                    }
                }
            }
        }
        Step step = each.step;
        return new Step(step.name(), step.when(), step.what(), whom, step.others(), step.lastsMs(), step.how());
    }

    private static boolean has(Line line, JsonNode values) {
        for (var fields = values.fields(); fields.hasNext(); ) {
            var field = fields.next();
            JsonNode found = field.getKey().equals("what")
                    ? com.fasterxml.jackson.databind.node.TextNode.valueOf(line.what())
                    : line.tree().path(field.getKey());
            if (!found.asText().equals(field.getValue().asText())) {
                return false;
            }
        }
        return true;
    }

    /** Processes that are gone though nobody here ended them: a point that was armed has been reached. */
    private void lost() {
        double sinceMs = aliveMs;
        aliveMs = fleet.loop().nowMs();
        for (int node = 0; node < nodes.size(); node++) {
            if (!over.contains(node) && !nodes.get(node).handle().isAlive()) {
                over.add(node);
                double nowMs = fleet.loop().nowMs();
                checker.excuse(targets.get(node).toString(), sinceMs - LOOK_MS, nowMs + EXCUSED_MS);
                history.done("killed", whom(node));
            }
        }
    }

    private void saw(Pending each, Line line) {
        ClusterPlan.When when = each.step.when();
        if (!when.seen() || !Double.isNaN(each.dueMs) || when.step() != null && !taken.containsKey(when.step())) {
            return;
        }
        if (when.line() != null) {
            String of = line.node() < 0 ? "rig" : "n" + line.node();
            if ((when.node().equals("any") || when.node().equals(of))
                    && has(line, when.line())
                    && ++each.seen >= when.times()) {
                each.who = line.node();
                each.dueMs = sinceMs() + when.afterMs();
            }
            return;
        }
        if (!line.what().equals("standing")
                || line.node() < 0
                || !when.node().equals("any")
                        && !when.node().equals(line.tree().get("node").asText())
                || when.of() != null && !when.of().equals(line.tree().get("of").asText())
                || when.is() != null && !when.is().equals(line.tree().get("is").asText())) {
            return;
        }
        if (++each.seen >= when.times()) {
            each.who = line.node();
            each.dueMs = sinceMs() + when.afterMs();
        }
    }

    // ---- Steps ----

    private void take(Step step) throws IOException, InterruptedException {
        steps.add(new Step(
                step.name(),
                new ClusterPlan.When(sinceMs(), null, null, null, null, 1, null, 0),
                step.what(),
                step.nodes(),
                step.others(),
                step.lastsMs(),
                step.how()));
        progress.accept(step.what() + " "
                + step.nodes().stream().map(node -> "n" + node).toList()
                + (step.others().isEmpty()
                        ? ""
                        : " and "
                                + step.others().stream().map(node -> "n" + node).toList()));
        switch (step.what()) {
            case "kill" -> {
                excuse(step, 0);
                over.addAll(step.nodes());
                for (int node : step.nodes()) {
                    nodes.get(node).handle().destroyForcibly();
                }
                for (int node : step.nodes()) {
                    nodes.get(node).awaitEnd(10);
                }
                done(step, "killed");
            }
            case "terminate" -> {
                done(step, "asked to end");
                over.addAll(step.nodes());
                step.nodes().forEach(node -> nodes.get(node).terminate());
            }
            case "start" -> {
                done(step, "started");
                for (int i = 0; i < step.nodes().size(); i++) {
                    int node = step.nodes().get(i);
                    if (plan.peers() != null && step.how().has("as")) {
                        named(node, step.how().get("as").get(i).asText());
                    }
                    nodes.get(node).launch(machine(step.how()));
                    over.remove(node);
                }
            }
            case "stop" -> {
                excuse(step, step.lastsMs() > 0 ? step.lastsMs() : plan.lastsMs());
                for (int node : step.nodes()) {
                    nodes.get(node).stop(true);
                }
                done(step, "stopped");
                later(step, "goes on", () -> each(step, node -> nodes.get(node).stop(false)));
            }
            case "slow" -> {
                excuse(step, step.lastsMs() > 0 ? step.lastsMs() : plan.lastsMs());
                done(step, "slowed");
                slowed.addAll(step.nodes());
                Thread slowing =
                        new Thread(() -> slow(step, step.how().path("share").asDouble(0.05)), "spartrail-slowing");
                slowing.setDaemon(true);
                slowing.start();
                later(step, "quick again", () -> slowed.removeAll(step.nodes()));
            }
            case "flood" -> {
                done(step, "flooded");
                DatagramFlood flood = new DatagramFlood(
                        step.how().path("perS").asDouble(2000),
                        step.how().path("manner").asText("names"),
                        step.nodes().stream()
                                .map(node -> PORT_OF.apply(links.address(node)))
                                .toList(),
                        "rig",
                        plan.seed());
                floods.add(flood);
                later(step, "flood ends", flood::close);
            }
            case "propose" -> orders.propose(
                    step.name(),
                    step.nodes().isEmpty() ? 0 : step.nodes().get(0),
                    step.how().get("settings"));
            case "abort" -> orders.abort(
                    step.name(),
                    step.nodes().isEmpty() ? 0 : step.nodes().get(0),
                    step.how().path("number").asLong());
            case "push" -> push(step);
            case "abandon" -> done(step, "abandoned");
            case "harm" -> {
                for (int node : step.nodes()) {
                    DiskFault.to(folder, node, step.how().path("harm").asText());
                }
                done(step, "harmed");
            }
            case "crash" -> orders.arm(
                    step.name(),
                    step.nodes().isEmpty() ? leader : step.nodes().get(0),
                    step.how().path("point").asText());
            case "heal" -> {
                links.setAll(node -> true, node -> true, () -> null);
                done(step, "healed");
            }
            default -> link(step);
        }
    }

    /** The easy way to another policy: files and SIGHUP, node after node. Who is down is passed over, as a script would. */
    private void push(Step step) throws IOException {
        done(step, "pushed");
        List<Integer> all = step.nodes();
        double atMs = 0;
        for (int node : all) {
            dues.add(new Due(
                    sinceMs() + atMs,
                    () -> each(
                            new Step(step.name(), step.when(), "push", List.of(node), List.of(), 0, step.how()),
                            one -> {
                                if (nodes.get(one).handle().isAlive()) {
                                    ConfigPush.write(
                                            nodes.get(one).config(),
                                            step.how().get("settings"),
                                            step.how().path("number").asLong());
                                    nodes.get(one).hangUp();
                                }
                            })));
            atMs += step.how().path("gapMs").asDouble(0);
        }
    }

    private static final java.util.function.Function<String, Integer> PORT_OF =
            address -> Integer.parseInt(address.substring(address.indexOf(':') + 1));

    /** What this node does not answer meanwhile is the rig's doing. */
    private void excuse(Step step, double lastsMs) {
        double nowMs = fleet.loop().nowMs();
        step.nodes()
                .forEach(node ->
                        checker.excuse(targets.get(node).toString(), nowMs - LOOK_MS, nowMs + lastsMs + EXCUSED_MS));
    }

    private interface Deed {
        void to(int node) throws IOException, InterruptedException;
    }

    private static void each(Step step, Deed deed) {
        for (int node : step.nodes()) {
            try {
                deed.to(node);
            } catch (IOException e) {
                throw new java.io.UncheckedIOException(e);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }

    /** A node gets so small a share of a core: it runs for a part of each tenth of a second and stands still for the rest. */
    private void slow(Step step, double share) {
        try {
            while (step.nodes().stream().anyMatch(slowed::contains)) {
                for (int node : step.nodes()) {
                    nodes.get(node).stop(false);
                }
                Thread.sleep(Math.max(1, Math.round(100 * share)));
                for (int node : step.nodes()) {
                    nodes.get(node).stop(true);
                }
                Thread.sleep(Math.max(1, Math.round(100 * (1 - share))));
            }
            for (int node : step.nodes()) {
                nodes.get(node).stop(false);
            }
        } catch (IOException e) {
            progress.accept("a node cannot be slowed: " + e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void link(Step step) {
        boolean both = step.what().equals("cut") || step.what().equals("link");
        if (!both && !step.what().equals("one-way") && !step.what().equals("link-one-way")) {
            throw new InvalidInputException("no step is named '" + step.what() + "'");
        }
        JsonNode how = step.how();
        double untilMs = links.nowMs() + how.path("heldMs").asDouble(0);
        java.util.function.Supplier<DatagramLinks.Trouble> trouble = () -> {
            DatagramLinks.Trouble made = new DatagramLinks.Trouble();
            made.cut = step.what().equals("cut") || step.what().equals("one-way");
            made.loss = how.path("loss").asDouble(0);
            made.delayMs = how.path("delayMs").asDouble(0);
            made.jitterMs = how.path("jitterMs").asDouble(0);
            made.twice = how.path("twice").asDouble(0);
            made.flipped = how.path("flipped").asDouble(0);
            made.mostBytes = how.path("mostBytes").asInt(Integer.MAX_VALUE);
            made.bytesPerS = how.path("bytesPerS").asDouble(0);
            made.kind = how.path("kind").asText(null);
            made.heldUntilMs = how.has("heldMs") ? untilMs : 0;
            return made;
        };
        connect(step, both, trouble);
        done(step, step.what());
        later(step, step.what() + " ends", () -> connect(step, both, () -> null));
    }

    private void connect(Step step, boolean both, java.util.function.Supplier<DatagramLinks.Trouble> trouble) {
        java.util.function.Predicate<Integer> far = node -> step.others().isEmpty()
                ? !step.nodes().contains(node)
                : step.others().contains(node);
        links.setAll(step.nodes()::contains, far, trouble);
        if (both) {
            links.setAll(far, step.nodes()::contains, trouble);
        }
    }

    /** The process on this machine bears another name from its next start on. */
    private void named(int node, String name) throws IOException {
        Path file = folder.resolve("n" + node + ".peers.json");
        Files.writeString(
                file,
                ((ObjectNode) Document.JSON.readTree(Files.readString(file)))
                        .put("name", name)
                        .toPrettyString());
    }

    /** How far the machine's clock is from the right time, how fast the node's own one runs, and what room its disk has. */
    private static List<String> machine(JsonNode how) {
        List<String> options = new ArrayList<>(List.of("-D" + CrashPoint.ENABLING_PROPERTY + "=true"));
        if (how.has("clock")) {
            options.add("-Dspartrail.clock.aheadMs="
                    + how.get("clock").path("aheadMs").asLong(0));
            options.add(
                    "-Dspartrail.clock.pace=" + how.get("clock").path("pace").asDouble(1));
        }
        if (how.has("point")) {
            options.add("-Dspartrail.crash.at=" + how.get("point").asText());
        }
        if (how.has("disk")) {
            options.add("-Dspartrail.disk.mostBytes="
                    + how.get("disk").path("mostBytes").asLong());
        }
        return options;
    }

    private void done(Step step, String what) {
        ObjectNode tree = Document.JSON.createObjectNode().put("step", step.name());
        var names = tree.putArray("nodes");
        step.nodes().forEach(node -> names.add("n" + node));
        if (step.how().has("number")) {
            tree.set("number", step.how().get("number"));
        }
        if (step.how().has("as")) {
            tree.set("as", step.how().get("as"));
        }
        var others = tree.putArray("others");
        step.others().forEach(node -> others.add("n" + node));
        history.done(what, tree);
    }

    private void later(Step step, String what, Runnable deed) {
        if (step.lastsMs() > 0) {
            dues.add(new Due(sinceMs() + step.lastsMs(), () -> {
                deed.run();
                done(step, what);
                progress.accept(what + " "
                        + step.nodes().stream().map(node -> "n" + node).toList());
            }));
        }
    }

    /** What a node has logged so far. */
    public String log(int node) throws IOException {
        return Files.readString(folder.resolve("n" + node + ".log"));
    }

    @Override
    public void close() {
        slowed.clear();
        floods.forEach(DatagramFlood::close);
        if (orders != null) {
            orders.close();
        }
        // Those that stand still cannot end by themselves.
        for (NodeProcess node : nodes) {
            node.handle().destroyForcibly();
        }
        nodes.forEach(NodeProcess::close);
        links.close();
        fleet.close();
    }
}

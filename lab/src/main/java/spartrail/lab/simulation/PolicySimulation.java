package spartrail.lab.simulation;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeSet;
import java.util.random.RandomGenerator;
import spartrail.lab.rules.PeersRules.Breach;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyLeader;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicySettings;
import spartrail.policy.PolicyTimings;
import spartrail.policy.PolicyVersion;
import spartrail.policy.PolicyVersion.Stage;

/**
 * Simulates nodes that use policy versions. A model replaces the replicated log: one list; a new leader some time
 * after the former one was lost; reads and appends that take time and succeed only if the leader still leads and
 * reaches a majority. A failed append may still be committed by the next leader. Everything else is production code.
 */
public final class PolicySimulation implements SimulatedNetwork.Simulation<PolicySimulation.Message> {
    /** A message between nodes about policy; the kinds are those of the wire format. */
    public record Message(String kind, String from, PolicyRequest poll, PolicyResponse response, String hint) {}

    /** Short times, so that a short run covers many versions. */
    static final PolicyTimings TIMINGS = new PolicyTimings(3000, 500, 8000, 5000, 0.02);

    private static final double MONITOR_INTERVAL_MS = 100;
    private static final double LEADER_LOST_MS = 3000;
    private static final double DEPARTED_MS = 5000;
    private static final int MAX_BREACHES = 20;
    private static final String BUDGET = "/opTypes/orders/budgetMs";
    private static final PolicySettings LOCAL_SETTINGS =
            PolicySettings.parse("{\"opTypes\":{\"orders\":{\"budgetMs\":2000,\"timeoutMs\":8000}},"
                    + "\"furtherSends\":{\"spanMs\":0,\"free\":0,\"share\":0}}");

    /** The process of one node, with its policy follower and leader. */
    private final class PolicyProcess implements SimulatedNode<Message> {
        final int node;
        final int start;
        final PolicyFollower follower;
        final PolicyLeader leader = new PolicyLeader(TIMINGS);
        final RandomGenerator random;
        final Deque<Runnable> tasks = new ArrayDeque<>();
        final List<Envelope<Message>> outbox = new ArrayList<>();
        final List<PolicyRequest> waitingPolls = new ArrayList<>();
        final double startedAtMs;
        boolean isLeader;
        boolean isReading;
        long checkedNumber;
        double checkDoneAtMs = Double.POSITIVE_INFINITY;
        double nextLeaderStepMs;
        double nowMs;

        PolicyProcess(int node, int start, PolicySettings localSettings, RandomGenerator random, double nowMs) {
            this.node = node;
            this.start = start;
            this.random = random;
            this.startedAtMs = nowMs;
            this.nowMs = nowMs;
            this.follower = new PolicyFollower("n" + node, nodeNames(voters), localSettings, TIMINGS, random, nowMs);
        }

        void send(int to, Message message) {
            outbox.add(new Envelope<>(SimulatedNetwork.address(to), message));
        }

        @Override
        public void onMessage(Message message, double atMs) {
            nowMs = atMs;
            switch (message.kind()) {
                case "ASK" -> onPoll(message);
                case "TOLD" -> follower.onResponse(message.response(), atMs);
                case "ELSEWHERE" -> follower.onRedirect(message.hint(), atMs);
                default -> follower.pollNoLaterThan(atMs);
            }
            advance(atMs);
        }

        private void onPoll(Message message) {
            if (!isLeader) {
                send(
                        Integer.parseInt(message.from().substring(1)),
                        new Message(
                                "ELSEWHERE",
                                "n" + node,
                                null,
                                null,
                                leaderNode >= 0 && network.isConnected(node, leaderNode) ? "n" + leaderNode : ""));
                return;
            }
            leader.setLeading(true);
            leader.onRequest(message.poll(), nowMs);
            waitingPolls.add(message.poll());
            readNextBatch();
        }

        private void readNextBatch() {
            if (isReading || waitingPolls.isEmpty()) {
                return;
            }
            isReading = true;
            List<PolicyRequest> batch = List.copyOf(waitingPolls);
            waitingPolls.clear();
            confirmRead(this, confirmed -> {
                isReading = false;
                for (PolicyRequest poll : batch) {
                    if (confirmed != null) {
                        PolicyResponse response = new PolicyResponse(
                                poll.nonce(), confirmed.appliedIndex(), confirmed.active(), confirmed.pending());
                        if (poll.node().equals("n" + node)) {
                            follower.onResponse(response, nowMs);
                        } else {
                            send(
                                    Integer.parseInt(poll.node().substring(1)),
                                    new Message("TOLD", "n" + node, null, response, ""));
                        }
                    }
                }
                readNextBatch();
            });
        }

        @Override
        public void advance(double atMs) {
            nowMs = atMs;
            while (!tasks.isEmpty()) {
                tasks.poll().run();
            }
            if (atMs >= nextLeaderStepMs) {
                nextLeaderStepMs = atMs + 50;
                leader.setLeading(isLeader);
                LogOperation op = isLeader ? leader.nextOperation(log, presentNodes(node), atMs) : null;
                if (op != null) {
                    append(this, op);
                }
            }
            PolicyRequest poll = follower.pollIfDue(atMs);
            if (poll != null) {
                sendPoll(poll);
            }
            PolicyVersion open = follower.proposalToCheck();
            if (open != null && checkedNumber != open.number()) {
                checkedNumber = open.number();
                checkDoneAtMs = atMs + 20 + 200 * random.nextDouble();
            }
            if (atMs >= checkDoneAtMs) {
                checkDoneAtMs = Double.POSITIVE_INFINITY;
                if (open != null) {
                    String objection = "";
                    try {
                        follower.settingsWith(open);
                    } catch (IllegalArgumentException e) {
                        objection = e.getMessage();
                    }
                    follower.recordVote(open.number(), objection, atMs);
                }
            }
        }

        private void sendPoll(PolicyRequest poll) {
            if (isLeader) {
                leader.setLeading(true);
                leader.onRequest(poll, nowMs);
                waitingPolls.add(poll);
                readNextBatch();
                return;
            }
            send(Integer.parseInt(follower.pollTarget().substring(1)), new Message("ASK", "n" + node, poll, null, ""));
        }

        @Override
        public double nextAdvanceMs() {
            return tasks.isEmpty()
                    ? Math.min(
                            Math.min(follower.nextPollAtMs(), checkDoneAtMs),
                            node < voters ? nextLeaderStepMs : Double.POSITIVE_INFINITY)
                    : Double.NEGATIVE_INFINITY;
        }

        @Override
        public List<Envelope<Message>> drainMessages() {
            List<Envelope<Message>> messages = List.copyOf(outbox);
            outbox.clear();
            return messages;
        }
    }

    private static List<String> nodeNames(int count) {
        return java.util.stream.IntStream.range(0, count)
                .mapToObj(node -> "n" + node)
                .toList();
    }

    private final int size;
    private final int voters;
    private final int incompatibleNode;
    private final PolicyLog log = new PolicyLog();
    private final List<Breach> breaches = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private final List<LogOperation> uncertainOperations = new ArrayList<>();
    private final List<Long> heldVersions = new ArrayList<>(List.of(0L));
    private final Map<Long, Double> budgets = new HashMap<>(Map.of(0L, 2000.0));
    private final String[] labels;
    private final long[] lastBaseVersion;
    private final double[] lastReachedMs;
    private final double[] isolatedSinceMs;
    private SimulatedNetwork<Message> network;
    private long appliedIndex;
    private int leaderNode = -1;
    private double leaderSeenMs;
    /** When the pending proposal was committed. */
    private double proposedAtMs;

    /** Since when the same node leads and reaches a majority. */
    private double leaderStableSinceMs;

    private int proposals;
    private int changes;
    private boolean isLogged;
    private int nodeToCut = -1;

    /**
     * @param size the number of nodes; the first three or five are voters
     * @param incompatibleNode the node that cannot apply every proposal, or -1
     */
    PolicySimulation(int size, int incompatibleNode) {
        this.size = size;
        this.voters = size < 5 ? 3 : 3 + 2 * (size % 2);
        this.incompatibleNode = incompatibleNode;
        this.labels = new String[size];
        this.lastBaseVersion = new long[size];
        this.lastReachedMs = new double[size];
        this.isolatedSinceMs = new double[size];
        java.util.Arrays.fill(isolatedSinceMs, Double.NaN);
    }

    /**
     * Cuts this node off when a version is decided, so that its lease is as old as possible when the version takes
     * effect.
     */
    void cutAtDecision(int node) {
        nodeToCut = node;
    }

    void attachTo(SimulatedNetwork<Message> attached) {
        network = attached;
        network.scheduleAfter(MONITOR_INTERVAL_MS, this::monitorLeader);
    }

    void enableLog() {
        isLogged = true;
    }

    List<String> log() {
        return lines;
    }

    List<Breach> breaches() {
        return breaches;
    }

    int changes() {
        return changes;
    }

    int versions() {
        return heldVersions.size() - 1;
    }

    private void appendLog(String text) {
        if (isLogged) {
            lines.add(String.format(Locale.ROOT, "%8.0f ms  %s", network.nowMs(), text));
        }
    }

    private void breach(String rule, String description) {
        appendLog("BROKEN " + rule + ": " + description);
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(new Breach(network.nowMs(), rule, description));
        }
    }

    // ---- The replicated log ----

    private PolicyProcess process(int node) {
        return (PolicyProcess) network.process(node);
    }

    /** Whether the voter runs and reaches a majority of the voters. */
    private boolean canLead(int voter) {
        int reached = 0;
        for (int other = 0; other < voters; other++) {
            reached +=
                    network.isRunning(other) && !network.isPaused(other) && network.isConnected(voter, other) ? 1 : 0;
        }
        return voter < voters && network.isRunning(voter) && !network.isPaused(voter) && 2 * reached > voters;
    }

    private void monitorLeader() {
        network.scheduleAfter(MONITOR_INTERVAL_MS, this::monitorLeader);
        double maxMs = TIMINGS.voteTimeoutMs() + TIMINGS.leaseExpiryBoundMs() + 4 * TIMINGS.pollIntervalMs();
        if (log.pending() != null
                && network.nowMs() - Math.max(proposedAtMs, leaderStableSinceMs) > maxMs
                && leaderNode >= 0
                && canLead(leaderNode)) {
            breach(
                    "(f) every proposal ends",
                    "proposal " + log.pending().number() + " is still "
                            + log.pending().stage() + " after " + Math.round(network.nowMs() - proposedAtMs) + " ms");
            proposedAtMs = Double.POSITIVE_INFINITY;
        }
        if (leaderNode < 0 || !canLead(leaderNode)) {
            leaderStableSinceMs = network.nowMs();
        }
        if (leaderNode >= 0 && canLead(leaderNode) && process(leaderNode).isLeader) {
            leaderSeenMs = network.nowMs();
        } else if (network.nowMs() - leaderSeenMs > LEADER_LOST_MS) {
            electLeader();
        }
        for (int node = 0; node < size; node++) {
            if (node < voters
                    && network.isRunning(node)
                    && process(node).isLeader
                    && node != leaderNode
                    && canLead(node)) {
                process(node).isLeader = false;
            }
            isolatedSinceMs[node] = !isIsolated(node)
                    ? Double.NaN
                    : Double.isNaN(isolatedSinceMs[node]) ? network.nowMs() : isolatedSinceMs[node];
            if (leaderNode >= 0 && network.isRunning(node) && network.isConnected(leaderNode, node)) {
                lastReachedMs[node] = network.nowMs();
            }
        }
    }

    /** Whether the node is connected to no voter that reaches a majority. */
    private boolean isIsolated(int node) {
        for (int voter = 0; voter < voters; voter++) {
            if (canLead(voter) && network.isConnected(node, voter)) {
                return false;
            }
        }
        return true;
    }

    private void electLeader() {
        List<Integer> candidates = new ArrayList<>();
        for (int voter = 0; voter < voters; voter++) {
            if (canLead(voter)) {
                candidates.add(voter);
            }
        }
        if (candidates.isEmpty()) {
            return;
        }
        leaderNode = candidates.get(network.random().nextInt(candidates.size()));
        leaderSeenMs = network.nowMs();
        leaderStableSinceMs = network.nowMs();
        process(leaderNode).isLeader = true;
        appendLog("n" + leaderNode + " leads");
        for (LogOperation op : List.copyOf(uncertainOperations)) {
            if (network.random().nextBoolean()) {
                commit(op);
            }
        }
        uncertainOperations.clear();
        commit(LogOperation.NEW_TERM_OPERATION);
        network.reschedule(leaderNode);
    }

    private List<String> presentNodes(int leader) {
        List<String> present = new ArrayList<>();
        for (int node = 0; node < size; node++) {
            if (node == leader || network.nowMs() - lastReachedMs[node] < DEPARTED_MS) {
                present.add("n" + node);
            }
        }
        return present;
    }

    private interface ReadCallback {
        void onRead(PolicyResponse response);
    }

    /**
     * Reads the log with the confirmation of a majority: passes on its state at the start of the read, or null if the
     * node no longer leads at the end.
     */
    private void confirmRead(PolicyProcess process, ReadCallback callback) {
        boolean couldLead = leaderNode == process.node && canLead(process.node);
        PolicyResponse response = new PolicyResponse(0, appliedIndex, log.active(), log.pending());
        network.scheduleAfter(1 + 40 * network.random().nextDouble(), () -> {
            boolean canConfirm = couldLead
                    && leaderNode == process.node
                    && canLead(process.node)
                    && network.process(process.node) == process;
            process.tasks.add(() -> callback.onRead(canConfirm ? response : null));
            network.reschedule(process.node);
        });
    }

    private void append(PolicyProcess process, LogOperation op) {
        boolean couldLead = leaderNode == process.node && canLead(process.node);
        network.scheduleAfter(1 + 60 * network.random().nextDouble(), () -> {
            if (couldLead && leaderNode == process.node && canLead(process.node)) {
                commit(op);
            } else if (couldLead) {
                uncertainOperations.add(op);
            }
        });
    }

    private void commit(LogOperation op) {
        PolicyVersion pendingBefore = log.pending();
        String result = log.apply(++appliedIndex, op);
        proposedAtMs = log.pending() != null
                        && (pendingBefore == null
                                || pendingBefore.number() != log.pending().number())
                ? network.nowMs()
                : proposedAtMs;
        if (op.kind() == LogOperation.Kind.NEW_TERM) {
            return;
        }
        appendLog(op.kind() + " " + op.proposalNumber() + " " + op.issuer() + " " + op.text() + ": " + result);
        PolicyVersion open = log.pending();
        if (op.kind() == LogOperation.Kind.PROPOSE && open != null) {
            budgets.put(open.number(), PolicySettings.parse(open.settings()).number(BUDGET));
        }
        if (op.kind() == LogOperation.Kind.DECIDE
                && open != null
                && open.stage() == Stage.DECIDED
                && pendingBefore.stage() == Stage.PROPOSED) {
            checkVotes(open);
            if (nodeToCut >= 0) {
                network.scheduleFaults(
                        List.of(new Fault(network.nowMs(), Fault.Kind.CUT, List.of(nodeToCut), List.of(), 5000, 0)));
            }
        }
        if (log.active().number() != heldVersions.get(heldVersions.size() - 1)) {
            heldVersions.add(log.active().number());
            if (pendingBefore.stage() != Stage.DECIDED) {
                breach(
                        "decided before active",
                        "version " + pendingBefore.number() + " took effect from stage " + pendingBefore.stage());
            }
        }
        List<PolicyVersion> finished = log.finished();
        for (PolicyVersion entry : finished) {
            if (finished.stream()
                            .filter(other -> other.token().equals(entry.token()))
                            .count()
                    > 1) {
                breach(
                        "a proposal counts once",
                        "proposal " + entry.number() + " was committed twice, with token " + entry.token());
            }
        }
        if (leaderNode >= 0 && network.isRunning(leaderNode)) {
            for (int node = 0; node < size; node++) {
                process(leaderNode).send(node, new Message("NEWS", "n" + leaderNode, null, null, ""));
            }
            network.reschedule(leaderNode);
        }
    }

    /** Each node that is in touch when a version is decided has voted that it can apply the version. */
    private void checkVotes(PolicyVersion decided) {
        for (int node = 0; node < size; node++) {
            if (!network.isRunning(node)) {
                continue;
            }
            PolicyLease lease = process(node).follower.lease();
            boolean isInTouch = lease != null
                    && !lease.activeAt(network.clockMs(node)).label().endsWith("?")
                    && network.isConnected(node, leaderNode)
                    && network.nowMs() - lastReachedMs[node] < MONITOR_INTERVAL_MS * 2
                    && !network.isPaused(node);
            if (isInTouch && process(node).checkedNumber < decided.number()) {
                breach("all reachable nodes vote", "n" + node + " did not vote on proposal " + decided.number());
            }
            if (isInTouch
                    && node == incompatibleNode
                    && decided.number() == process(node).checkedNumber
                    && budgets.get(decided.number()) > 2500) {
                breach(
                        "one objection rejects",
                        "n" + node + " cannot apply version " + decided.number() + ", which was decided");
            }
        }
    }

    /** An operator sends a proposal, repeats it while no leader takes it, and sends some a second time. */
    void propose(int budgetMs, boolean isSentTwice) {
        LogOperation op = new LogOperation(
                LogOperation.Kind.PROPOSE, 0, "{\"" + BUDGET + "\":" + budgetMs + "}", "operator", "t" + proposals++);
        submit(op, 0);
        if (isSentTwice) {
            network.scheduleAfter(1000 + 8000 * network.random().nextDouble(), () -> submit(op, 0));
        }
    }

    void abort() {
        if (log.pending() != null) {
            submit(new LogOperation(LogOperation.Kind.ABORT, log.pending().number(), "", "operator", ""), 0);
        }
    }

    private void submit(LogOperation op, int attempts) {
        if (leaderNode >= 0 && canLead(leaderNode) && process(leaderNode).isLeader) {
            append(process(leaderNode), op);
        } else if (attempts < 40) {
            network.scheduleAfter(500, () -> submit(op, attempts + 1));
        }
    }

    // ---- The simulation's callbacks ----

    @Override
    public SimulatedNode<Message> startProcess(
            int node, int startNumber, String address, double nodeMs, RandomGenerator random) {
        PolicySettings localSettings = node == incompatibleNode
                ? LOCAL_SETTINGS.overriddenBy(PolicySettings.parse("{\"opTypes\":{\"orders\":{\"timeoutMs\":2500}}}"))
                : LOCAL_SETTINGS;
        labels[node] = "";
        if (leaderNode == node) {
            leaderNode = -1;
        }
        return new PolicyProcess(node, startNumber, localSettings, random, nodeMs);
    }

    @Override
    public long fingerprint(Message message) {
        return message.kind().hashCode()
                ^ (message.poll() != null
                        ? message.poll().nonce()
                        : message.response() != null ? message.response().nonce() : 7);
    }

    @Override
    public void onFault(Fault fault, boolean ends, double networkMs) {
        appendLog(fault + (ends ? " ends" : ""));
    }

    @Override
    public void onStep(int node, SimulatedNode<Message> process, double networkMs, double nodeMs) {
        PolicyProcess stepped = (PolicyProcess) process;
        PolicyLease active = stepped.follower.lease() == null
                ? null
                : stepped.follower.lease().activeAt(nodeMs);
        String label = active == null ? "" : active.label();
        boolean hasLease = active != null && !label.endsWith("?");
        double graceMs = TIMINGS.leaseMs() / (1 - TIMINGS.maxClockDrift()) + 2 * MONITOR_INTERVAL_MS;
        if (hasLease && networkMs - isolatedSinceMs[node] > graceMs && isIsolated(node)) {
            breach(
                    "(e) out of touch it stops",
                    "n" + node + " uses " + label + " though isolated for "
                            + Math.round(networkMs - isolatedSinceMs[node]) + " ms");
        }
        if (label.equals(labels[node]) || active == null) {
            return;
        }
        appendLog("n" + node + " uses " + label);
        changes++;
        if (labels[node].isEmpty() && label.equals("0?") && nodeMs - stepped.startedAtMs < TIMINGS.startupTimeoutMs()) {
            breach(
                    "not ready too early",
                    "n" + node + " serves after " + Math.round(nodeMs - stepped.startedAtMs)
                            + " ms without any response");
        }
        checkStricter(node, active);
        if (hasLease) {
            checkOrder(node, label);
            checkRejected(node, label);
            for (int other = 0; other < size; other++) {
                if (other != node && network.isRunning(other) && !network.isPaused(other)) {
                    checkSameVersion(node, label, other);
                }
            }
        }
        labels[node] = label;
    }

    private static List<Long> versionNumbers(String label) {
        List<Long> numbers = new ArrayList<>();
        for (String number : label.replace("?", "").split("\\|")) {
            numbers.add(Long.parseLong(number));
        }
        return numbers;
    }

    /** A node's settings are at least as strict as each version that its label names. */
    private void checkStricter(int node, PolicyLease active) {
        for (long number : versionNumbers(active.label())) {
            double budgetMs = budgets.getOrDefault(number, 0.0);
            if (active.settings().number(BUDGET) > budgetMs + 1e-9) {
                breach(
                        "joint is the stricter",
                        "n" + node + " uses " + active.label() + " with a budget of "
                                + active.settings().number(BUDGET) + " ms, but version " + number + " allows "
                                + budgetMs + " ms");
            }
        }
        if (active.isJoint() != (active.label().contains("|") || active.label().endsWith("?"))) {
            breach(
                    "joint is the stricter",
                    "n" + node + " uses " + active.label() + ", but its lease has isJoint=" + active.isJoint());
        }
    }

    private void checkOrder(int node, String label) {
        long base = versionNumbers(label).get(0);
        if (!heldVersions.contains(base)) {
            breach("(a) one order", "n" + node + " uses " + label + ", but version " + base + " never took effect");
        } else if (base < lastBaseVersion[node]) {
            breach("(a) one order", "n" + node + " uses " + label + " after " + lastBaseVersion[node]);
        } else if (!labels[node].isEmpty()
                && !labels[node].endsWith("?")
                && heldVersions.indexOf(base)
                        > heldVersions.indexOf(versionNumbers(labels[node]).get(0)) + 1) {
            breach(
                    "(a) one order",
                    "n" + node + " uses " + label + " after " + labels[node] + " and skipped a version");
        }
        lastBaseVersion[node] = base;
    }

    private void checkRejected(int node, String label) {
        TreeSet<Long> rejected = new TreeSet<>();
        log.finished().stream()
                .filter(entry -> entry.stage() != Stage.HOLDS)
                .forEach(entry -> rejected.add(entry.number()));
        rejected.retainAll(versionNumbers(label));
        if (!rejected.isEmpty()) {
            breach(
                    "(b) refused is never",
                    "n" + node + " uses " + label + ", but " + rejected + " was refused or aborted");
        }
    }

    private void checkSameVersion(int node, String label, int other) {
        PolicyLease lease = process(other).follower.lease();
        PolicyLease otherLease = lease == null ? null : lease.activeAt(network.clockMs(other));
        if (otherLease == null || otherLease.label().endsWith("?")) {
            return;
        }
        List<Long> versions = versionNumbers(label);
        List<Long> otherVersions = versionNumbers(otherLease.label());
        boolean isCommon = versions.stream().anyMatch(otherVersions::contains)
                && (versions.size() > 1 || otherVersions.size() > 1 || versions.equals(otherVersions));
        if (!isCommon) {
            breach(
                    "(c) one version at an instant",
                    "n" + node + " uses " + label + " while n" + other + " uses " + otherLease.label());
        }
    }

    /** Long after the last fault: no proposal is pending, and all running nodes use the active version. */
    void checkSettled(int lastBudgetMs) {
        if (budgets.get(log.active().number()) != lastBudgetMs) {
            breach(
                    "applicable version active",
                    "version " + log.active().number() + " is active, not the one proposed after all faults");
        }
        if (log.pending() != null) {
            breach(
                    "(f) every proposal ends",
                    "proposal " + log.pending().number() + " is still "
                            + log.pending().stage() + " at the end");
        }
        for (int node = 0; node < size; node++) {
            PolicyLease lease = network.isRunning(node) ? process(node).follower.lease() : null;
            String label = lease == null
                    ? "no version"
                    : lease.activeAt(network.clockMs(node)).label();
            if (network.isRunning(node)
                    && process(node).follower.incompatibility().isEmpty()
                    && !label.equals(Long.toString(log.active().number()))) {
                breach(
                        "all use the active version",
                        "n" + node + " uses " + label + ", but version "
                                + log.active().number() + " is active");
            }
        }
    }
}

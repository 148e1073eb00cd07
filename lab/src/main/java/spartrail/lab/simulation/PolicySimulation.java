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
 * Nodes that go by versions of policy. The agreed log is a stand-in: one list, a leader that is chosen anew some time after the one
 * before was lost, reads and entries that take time and succeed only where the leader still leads and reaches a majority; an entry
 * that does not may come to be all the same. All else is the program's own.
 */
public final class PolicySimulation implements SimulatedNetwork.Simulation<PolicySimulation.Message> {
    /** What nodes send each other about policy; kinds as in the program's wire form. */
    public record Message(String kind, String from, PolicyRequest poll, PolicyResponse response, String hint) {}

    /** Short times, so that much happens in a short run. */
    static final PolicyTimings TIMINGS = new PolicyTimings(3000, 500, 8000, 5000, 0.02);

    private static final double MONITOR_INTERVAL_MS = 100;
    private static final double LEADER_LOST_MS = 3000;
    private static final double DEPARTED_MS = 5000;
    private static final int MAX_BREACHES = 20;
    private static final String BUDGET = "/opTypes/orders/budgetMs";
    private static final PolicySettings LOCAL_SETTINGS =
            PolicySettings.parse("{\"opTypes\":{\"orders\":{\"budgetMs\":2000,\"timeoutMs\":8000}},"
                    + "\"furtherSends\":{\"spanMs\":0,\"free\":0,\"share\":0}}");

    /** A node's process. */
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
            this.follower = new PolicyFollower("n" + node, names(voters), localSettings, TIMINGS, random, nowMs);
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

    private static List<String> names(int count) {
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
    /** When the proposal that is open was taken, and since when the same one leads and reaches a majority. */
    private double proposedAtMs;

    private double leaderStableSinceMs;
    private int proposals;
    private int changes;
    private boolean isLogged;
    private int nodeToCut = -1;

    /** So many nodes, the first three or five decide; the node {@code incompatibleNode} (none if below 0) cannot apply every proposal. */
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

    /** This node is cut off the moment a version is decided, so that its lease is as old as can be when the version holds. */
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

    private void breach(String rule, String what) {
        appendLog("BROKEN " + rule + ": " + what);
        if (breaches.size() < MAX_BREACHES) {
            breaches.add(new Breach(network.nowMs(), rule, what));
        }
    }

    // ---- The agreed log ----

    private PolicyProcess process(int node) {
        return (PolicyProcess) network.process(node);
    }

    /** It runs and reaches a majority of those that decide. */
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
        double mostMs = TIMINGS.voteTimeoutMs() + TIMINGS.leaseExpiryBoundMs() + 4 * TIMINGS.pollIntervalMs();
        if (log.pending() != null
                && network.nowMs() - Math.max(proposedAtMs, leaderStableSinceMs) > mostMs
                && leaderNode >= 0
                && canLead(leaderNode)) {
            breach(
                    "(f) every proposal ends",
                    log.pending().number() + " is " + log.pending().stage() + " after "
                            + Math.round(network.nowMs() - proposedAtMs) + " ms");
            proposedAtMs = Double.POSITIVE_INFINITY;
        }
        if (leaderNode < 0 || !canLead(leaderNode)) {
            leaderStableSinceMs = network.nowMs();
        }
        if (leaderNode >= 0 && canLead(leaderNode) && process(leaderNode).isLeader) {
            leaderSeenMs = network.nowMs();
        } else if (network.nowMs() - leaderSeenMs > LEADER_LOST_MS) {
            elect();
        }
        for (int node = 0; node < size; node++) {
            if (node < voters
                    && network.isRunning(node)
                    && process(node).isLeader
                    && node != leaderNode
                    && canLead(node)) {
                process(node).isLeader = false;
            }
            isolatedSinceMs[node] = !isolated(node)
                    ? Double.NaN
                    : Double.isNaN(isolatedSinceMs[node]) ? network.nowMs() : isolatedSinceMs[node];
            if (leaderNode >= 0 && network.isRunning(node) && network.isConnected(leaderNode, node)) {
                lastReachedMs[node] = network.nowMs();
            }
        }
    }

    /** No voter that reaches a majority is reached from it. */
    private boolean isolated(int node) {
        for (int voter = 0; voter < voters; voter++) {
            if (canLead(voter) && network.isConnected(node, voter)) {
                return false;
            }
        }
        return true;
    }

    private void elect() {
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

    /** A read that a majority confirms: what was committed when it began, if this node still leads when it ends. */
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
                breach("decided first", pendingBefore.number() + " holds and was " + pendingBefore.stage());
            }
        }
        List<PolicyVersion> ended = log.finished();
        for (PolicyVersion entry : ended) {
            if (ended.stream()
                            .filter(other -> other.token().equals(entry.token()))
                            .count()
                    > 1) {
                breach("one proposal counts once", entry.number() + " was there before");
            }
        }
        if (leaderNode >= 0 && network.isRunning(leaderNode)) {
            for (int node = 0; node < size; node++) {
                process(leaderNode).send(node, new Message("NEWS", "n" + leaderNode, null, null, ""));
            }
            network.reschedule(leaderNode);
        }
    }

    /** Whoever is in touch when a version is decided has said that it can. */
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
                breach("all are asked", "n" + node + " was not asked about " + decided.number());
            }
            if (isInTouch
                    && node == incompatibleNode
                    && decided.number() == process(node).checkedNumber
                    && budgets.get(decided.number()) > 2500) {
                breach("one no refuses", "n" + node + " cannot apply " + decided.number());
            }
        }
    }

    /** An operator proposes, and again where nobody answers; some send it twice. */
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

    // ---- The world's simulation ----

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
        if (hasLease && networkMs - isolatedSinceMs[node] > graceMs && isolated(node)) {
            breach(
                    "(e) out of touch it stops",
                    "n" + node + " goes by " + label + ", alone for " + Math.round(networkMs - isolatedSinceMs[node])
                            + " ms");
        }
        if (label.equals(labels[node]) || active == null) {
            return;
        }
        appendLog("n" + node + " goes by " + label);
        changes++;
        if (labels[node].isEmpty() && label.equals("0?") && nodeMs - stepped.startedAtMs < TIMINGS.startupTimeoutMs()) {
            breach(
                    "ready late enough",
                    "n" + node + " serves after " + Math.round(nodeMs - stepped.startedAtMs)
                            + " ms and has heard nothing");
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

    private static List<Long> numbers(String label) {
        List<Long> numbers = new ArrayList<>();
        for (String number : label.replace("?", "").split("\\|")) {
            numbers.add(Long.parseLong(number));
        }
        return numbers;
    }

    /** Whatever a node goes by is within each version that it names. */
    private void checkStricter(int node, PolicyLease active) {
        for (long number : numbers(active.label())) {
            double budgetMs = budgets.getOrDefault(number, 0.0);
            if (active.settings().number(BUDGET) > budgetMs + 1e-9) {
                breach(
                        "guarded is the stricter",
                        "n" + node + " by " + active.label() + " has a budget of "
                                + active.settings().number(BUDGET) + ", " + number + " has " + budgetMs);
            }
        }
        if (active.isJoint() != (active.label().contains("|") || active.label().endsWith("?"))) {
            breach("guarded is the stricter", "n" + node + " by " + active.label() + " does not say so");
        }
    }

    private void checkOrder(int node, String label) {
        long base = numbers(label).get(0);
        if (!heldVersions.contains(base)) {
            breach("(a) one order", "n" + node + " goes by " + label + ", and " + base + " never held");
        } else if (base < lastBaseVersion[node]) {
            breach("(a) one order", "n" + node + " goes by " + label + " after " + lastBaseVersion[node]);
        } else if (!labels[node].isEmpty()
                && !labels[node].endsWith("?")
                && heldVersions.indexOf(base)
                        > heldVersions.indexOf(numbers(labels[node]).get(0)) + 1) {
            breach("(a) one order", "n" + node + " goes by " + label + " after " + labels[node] + " and skipped some");
        }
        lastBaseVersion[node] = base;
    }

    private void checkRejected(int node, String label) {
        TreeSet<Long> rejected = new TreeSet<>();
        log.finished().stream()
                .filter(entry -> entry.stage() != Stage.HOLDS)
                .forEach(entry -> rejected.add(entry.number()));
        rejected.retainAll(numbers(label));
        if (!rejected.isEmpty()) {
            breach(
                    "(b) refused is never",
                    "n" + node + " goes by " + label + ", and " + rejected + " was refused or aborted");
        }
    }

    private void checkSameVersion(int node, String label, int other) {
        PolicyLease lease = process(other).follower.lease();
        PolicyLease otherLease = lease == null ? null : lease.activeAt(network.clockMs(other));
        if (otherLease == null || otherLease.label().endsWith("?")) {
            return;
        }
        List<Long> versions = numbers(label);
        List<Long> otherVersions = numbers(otherLease.label());
        boolean isCommon = versions.stream().anyMatch(otherVersions::contains)
                && (versions.size() > 1 || otherVersions.size() > 1 || versions.equals(otherVersions));
        if (!isCommon) {
            breach(
                    "(c) one version at an instant",
                    "n" + node + " goes by " + label + " while n" + other + " goes by " + otherLease.label());
        }
    }

    /** Long after the last fault: nothing is open, and all that run go by what holds. */
    void checkSettled(int lastBudgetMs) {
        if (budgets.get(log.active().number()) != lastBudgetMs) {
            breach(
                    "what all can apply holds",
                    log.active().number() + " holds, not the one that was proposed when all was well");
        }
        if (log.pending() != null) {
            breach(
                    "(f) every proposal ends",
                    log.pending().number() + " is " + log.pending().stage());
        }
        for (int node = 0; node < size; node++) {
            PolicyLease lease = network.isRunning(node) ? process(node).follower.lease() : null;
            String label = lease == null
                    ? "nothing"
                    : lease.activeAt(network.clockMs(node)).label();
            if (network.isRunning(node)
                    && process(node).follower.incompatibility().isEmpty()
                    && !label.equals(Long.toString(log.active().number()))) {
                breach(
                        "all go by what holds",
                        "n" + node + " goes by " + label + ", and "
                                + log.active().number() + " holds");
            }
        }
    }
}

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
public final class PolicySimulation implements SimulatedNetwork.Scene<PolicySimulation.Message> {
    /** What nodes send each other about policy; kinds as in the program's wire form. */
    public record Message(String kind, String from, PolicyRequest ask, PolicyResponse told, String hint) {}

    /** Short times, so that much happens in a short run. */
    static final PolicyTimings TIMES = new PolicyTimings(3000, 500, 8000, 5000, 0.02);

    private static final double LOOK_MS = 100;
    private static final double LEADER_LOST_MS = 3000;
    private static final double GONE_MS = 5000;
    private static final int MOST_BREACHES = 20;
    private static final String BUDGET = "/opTypes/orders/budgetMs";
    private static final PolicySettings OWN =
            PolicySettings.parse("{\"opTypes\":{\"orders\":{\"budgetMs\":2000,\"timeoutMs\":8000}},"
                    + "\"furtherSends\":{\"spanMs\":0,\"free\":0,\"share\":0}}");

    /** A node's guest. */
    private final class PolicyGuest implements SimulatedNode<Message> {
        final int node;
        final int start;
        final PolicyFollower follower;
        final PolicyLeader leader = new PolicyLeader(TIMES);
        final RandomGenerator chance;
        final Deque<Runnable> tasks = new ArrayDeque<>();
        final List<Parcel<Message>> out = new ArrayList<>();
        final List<PolicyRequest> waiting = new ArrayList<>();
        final double bornMs;
        boolean leads;
        boolean reading;
        long checking;
        double checkedMs = Double.POSITIVE_INFINITY;
        double nextLookMs;
        double nowMs;

        PolicyGuest(int node, int start, PolicySettings own, RandomGenerator chance, double nowMs) {
            this.node = node;
            this.start = start;
            this.chance = chance;
            this.bornMs = nowMs;
            this.nowMs = nowMs;
            this.follower = new PolicyFollower("n" + node, names(deciders), own, TIMES, chance, nowMs);
        }

        void send(int to, Message message) {
            out.add(new Parcel<>(SimulatedNetwork.address(to), message));
        }

        @Override
        public void heard(Message message, double atMs) {
            nowMs = atMs;
            switch (message.kind()) {
                case "ASK" -> asked(message);
                case "TOLD" -> follower.onResponse(message.told(), atMs);
                case "ELSEWHERE" -> follower.onRedirect(message.hint(), atMs);
                default -> follower.pollNoLaterThan(atMs);
            }
            advance(atMs);
        }

        private void asked(Message message) {
            if (!leads) {
                send(
                        Integer.parseInt(message.from().substring(1)),
                        new Message(
                                "ELSEWHERE",
                                "n" + node,
                                null,
                                null,
                                leading >= 0 && world.linked(node, leading) ? "n" + leading : ""));
                return;
            }
            leader.setLeading(true);
            leader.onRequest(message.ask(), nowMs);
            waiting.add(message.ask());
            read();
        }

        private void read() {
            if (reading || waiting.isEmpty()) {
                return;
            }
            reading = true;
            List<PolicyRequest> batch = List.copyOf(waiting);
            waiting.clear();
            confirmed(this, told -> {
                reading = false;
                for (PolicyRequest ask : batch) {
                    if (told != null) {
                        PolicyResponse answer =
                                new PolicyResponse(ask.nonce(), told.appliedIndex(), told.active(), told.pending());
                        if (ask.node().equals("n" + node)) {
                            follower.onResponse(answer, nowMs);
                        } else {
                            send(
                                    Integer.parseInt(ask.node().substring(1)),
                                    new Message("TOLD", "n" + node, null, answer, ""));
                        }
                    }
                }
                read();
            });
        }

        @Override
        public void advance(double atMs) {
            nowMs = atMs;
            while (!tasks.isEmpty()) {
                tasks.poll().run();
            }
            if (atMs >= nextLookMs) {
                nextLookMs = atMs + 50;
                leader.setLeading(leads);
                LogOperation op = leads ? leader.nextOperation(log, there(node), atMs) : null;
                if (op != null) {
                    append(this, op);
                }
            }
            PolicyRequest ask = follower.pollIfDue(atMs);
            if (ask != null) {
                ask(ask);
            }
            PolicyVersion open = follower.proposalToCheck();
            if (open != null && checking != open.number()) {
                checking = open.number();
                checkedMs = atMs + 20 + 200 * chance.nextDouble();
            }
            if (atMs >= checkedMs) {
                checkedMs = Double.POSITIVE_INFINITY;
                if (open != null) {
                    String no = "";
                    try {
                        follower.settingsWith(open);
                    } catch (IllegalArgumentException e) {
                        no = e.getMessage();
                    }
                    follower.recordVote(open.number(), no, atMs);
                }
            }
        }

        private void ask(PolicyRequest ask) {
            if (leads) {
                leader.setLeading(true);
                leader.onRequest(ask, nowMs);
                waiting.add(ask);
                read();
                return;
            }
            send(Integer.parseInt(follower.pollTarget().substring(1)), new Message("ASK", "n" + node, ask, null, ""));
        }

        @Override
        public double nextMs() {
            return tasks.isEmpty()
                    ? Math.min(
                            Math.min(follower.nextPollAtMs(), checkedMs),
                            node < deciders ? nextLookMs : Double.POSITIVE_INFINITY)
                    : Double.NEGATIVE_INFINITY;
        }

        @Override
        public List<Parcel<Message>> sent() {
            List<Parcel<Message>> taken = List.copyOf(out);
            out.clear();
            return taken;
        }
    }

    private static List<String> names(int count) {
        return java.util.stream.IntStream.range(0, count)
                .mapToObj(node -> "n" + node)
                .toList();
    }

    private final int size;
    private final int deciders;
    private final int unfit;
    private final PolicyLog log = new PolicyLog();
    private final List<Breach> breaches = new ArrayList<>();
    private final List<String> lines = new ArrayList<>();
    private final List<LogOperation> maybe = new ArrayList<>();
    private final List<Long> held = new ArrayList<>(List.of(0L));
    private final Map<Long, Double> budgets = new HashMap<>(Map.of(0L, 2000.0));
    private final String[] names;
    private final long[] lastAlone;
    private final double[] seenMs;
    private final double[] isolatedMs;
    private SimulatedNetwork<Message> world;
    private long index;
    private int leading = -1;
    private double leaderSeenMs;
    /** When the proposal that is open was taken, and since when the same one leads and reaches a majority. */
    private double openedMs;

    private double ledMs;
    private int proposals;
    private int changes;
    private boolean logs;
    private int cutAt = -1;

    /** So many nodes, the first three or five decide; the node {@code unfit} (none if below 0) cannot apply every proposal. */
    PolicySimulation(int size, int unfit) {
        this.size = size;
        this.deciders = size < 5 ? 3 : 3 + 2 * (size % 2);
        this.unfit = unfit;
        this.names = new String[size];
        this.lastAlone = new long[size];
        this.seenMs = new double[size];
        this.isolatedMs = new double[size];
        java.util.Arrays.fill(isolatedMs, Double.NaN);
    }

    /** This node is cut off the moment a version is decided, so that its lease is as old as can be when the version holds. */
    void cutAtDecision(int node) {
        cutAt = node;
    }

    void in(SimulatedNetwork<Message> playing) {
        world = playing;
        world.later(LOOK_MS, this::look);
    }

    void keepLog() {
        logs = true;
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
        return held.size() - 1;
    }

    private void line(String text) {
        if (logs) {
            lines.add(String.format(Locale.ROOT, "%8.0f ms  %s", world.nowMs(), text));
        }
    }

    private void breach(String rule, String what) {
        line("BROKEN " + rule + ": " + what);
        if (breaches.size() < MOST_BREACHES) {
            breaches.add(new Breach(world.nowMs(), rule, what));
        }
    }

    // ---- The agreed log ----

    private PolicyGuest guest(int node) {
        return (PolicyGuest) world.guest(node);
    }

    /** It runs and reaches a majority of those that decide. */
    private boolean eligible(int decider) {
        int reached = 0;
        for (int other = 0; other < deciders; other++) {
            reached += world.runs(other) && !world.stands(other) && world.linked(decider, other) ? 1 : 0;
        }
        return decider < deciders && world.runs(decider) && !world.stands(decider) && 2 * reached > deciders;
    }

    private void look() {
        world.later(LOOK_MS, this::look);
        double mostMs = TIMES.voteTimeoutMs() + TIMES.leaseExpiryBoundMs() + 4 * TIMES.pollIntervalMs();
        if (log.pending() != null
                && world.nowMs() - Math.max(openedMs, ledMs) > mostMs
                && leading >= 0
                && eligible(leading)) {
            breach(
                    "(f) every proposal ends",
                    log.pending().number() + " is " + log.pending().stage() + " after "
                            + Math.round(world.nowMs() - openedMs) + " ms");
            openedMs = Double.POSITIVE_INFINITY;
        }
        if (leading < 0 || !eligible(leading)) {
            ledMs = world.nowMs();
        }
        if (leading >= 0 && eligible(leading) && guest(leading).leads) {
            leaderSeenMs = world.nowMs();
        } else if (world.nowMs() - leaderSeenMs > LEADER_LOST_MS) {
            elect();
        }
        for (int node = 0; node < size; node++) {
            if (node < deciders && world.runs(node) && guest(node).leads && node != leading && eligible(node)) {
                guest(node).leads = false;
            }
            isolatedMs[node] =
                    !isolated(node) ? Double.NaN : Double.isNaN(isolatedMs[node]) ? world.nowMs() : isolatedMs[node];
            if (leading >= 0 && world.runs(node) && world.linked(leading, node)) {
                seenMs[node] = world.nowMs();
            }
        }
    }

    /** No decider that reaches a majority is reached from it. */
    private boolean isolated(int node) {
        for (int decider = 0; decider < deciders; decider++) {
            if (eligible(decider) && world.linked(node, decider)) {
                return false;
            }
        }
        return true;
    }

    private void elect() {
        List<Integer> able = new ArrayList<>();
        for (int decider = 0; decider < deciders; decider++) {
            if (eligible(decider)) {
                able.add(decider);
            }
        }
        if (able.isEmpty()) {
            return;
        }
        leading = able.get(world.chance().nextInt(able.size()));
        leaderSeenMs = world.nowMs();
        ledMs = world.nowMs();
        guest(leading).leads = true;
        line("n" + leading + " leads");
        for (LogOperation op : List.copyOf(maybe)) {
            if (world.chance().nextBoolean()) {
                commit(op);
            }
        }
        maybe.clear();
        commit(LogOperation.NEW_TERM_OPERATION);
        world.wake(leading);
    }

    private List<String> there(int leader) {
        List<String> there = new ArrayList<>();
        for (int node = 0; node < size; node++) {
            if (node == leader || world.nowMs() - seenMs[node] < GONE_MS) {
                there.add("n" + node);
            }
        }
        return there;
    }

    private interface Answer {
        void of(PolicyResponse told);
    }

    /** A read that a majority confirms: what was committed when it began, if this node still leads when it ends. */
    private void confirmed(PolicyGuest guest, Answer answer) {
        boolean could = leading == guest.node && eligible(guest.node);
        PolicyResponse told = new PolicyResponse(0, index, log.active(), log.pending());
        world.later(1 + 40 * world.chance().nextDouble(), () -> {
            boolean can = could && leading == guest.node && eligible(guest.node) && world.guest(guest.node) == guest;
            guest.tasks.add(() -> answer.of(can ? told : null));
            world.wake(guest.node);
        });
    }

    private void append(PolicyGuest guest, LogOperation op) {
        boolean could = leading == guest.node && eligible(guest.node);
        world.later(1 + 60 * world.chance().nextDouble(), () -> {
            if (could && leading == guest.node && eligible(guest.node)) {
                commit(op);
            } else if (could) {
                maybe.add(op);
            }
        });
    }

    private void commit(LogOperation op) {
        PolicyVersion was = log.pending();
        String came = log.apply(++index, op);
        openedMs = log.pending() != null
                        && (was == null || was.number() != log.pending().number())
                ? world.nowMs()
                : openedMs;
        if (op.kind() == LogOperation.Kind.NEW_TERM) {
            return;
        }
        line(op.kind() + " " + op.proposalNumber() + " " + op.issuer() + " " + op.text() + ": " + came);
        PolicyVersion open = log.pending();
        if (op.kind() == LogOperation.Kind.PROPOSE && open != null) {
            budgets.put(open.number(), PolicySettings.parse(open.settings()).number(BUDGET));
        }
        if (op.kind() == LogOperation.Kind.DECIDE
                && open != null
                && open.stage() == Stage.DECIDED
                && was.stage() == Stage.PROPOSED) {
            votes(open);
            if (cutAt >= 0) {
                world.script(List.of(new Fault(world.nowMs(), Fault.Kind.CUT, List.of(cutAt), List.of(), 5000, 0)));
            }
        }
        if (log.active().number() != held.get(held.size() - 1)) {
            held.add(log.active().number());
            if (was.stage() != Stage.DECIDED) {
                breach("decided first", was.number() + " holds and was " + was.stage());
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
        if (leading >= 0 && world.runs(leading)) {
            for (int node = 0; node < size; node++) {
                guest(leading).send(node, new Message("NEWS", "n" + leading, null, null, ""));
            }
            world.wake(leading);
        }
    }

    /** Whoever is in touch when a version is decided has said that it can. */
    private void votes(PolicyVersion decided) {
        for (int node = 0; node < size; node++) {
            if (!world.runs(node)) {
                continue;
            }
            PolicyLease ruling = guest(node).follower.lease();
            boolean touch = ruling != null
                    && !ruling.activeAt(world.clock(node)).label().endsWith("?")
                    && world.linked(node, leading)
                    && world.nowMs() - seenMs[node] < LOOK_MS * 2
                    && !world.stands(node);
            if (touch && guest(node).checking < decided.number()) {
                breach("all are asked", "n" + node + " was not asked about " + decided.number());
            }
            if (touch
                    && node == unfit
                    && decided.number() == guest(node).checking
                    && budgets.get(decided.number()) > 2500) {
                breach("one no refuses", "n" + node + " cannot apply " + decided.number());
            }
        }
    }

    /** An operator proposes, and again where nobody answers; some send it twice. */
    void propose(int budgetMs, boolean twice) {
        LogOperation op = new LogOperation(
                LogOperation.Kind.PROPOSE, 0, "{\"" + BUDGET + "\":" + budgetMs + "}", "operator", "t" + proposals++);
        ordered(op, 0);
        if (twice) {
            world.later(1000 + 8000 * world.chance().nextDouble(), () -> ordered(op, 0));
        }
    }

    void abort() {
        if (log.pending() != null) {
            ordered(new LogOperation(LogOperation.Kind.ABORT, log.pending().number(), "", "operator", ""), 0);
        }
    }

    private void ordered(LogOperation op, int tries) {
        if (leading >= 0 && eligible(leading) && guest(leading).leads) {
            append(guest(leading), op);
        } else if (tries < 40) {
            world.later(500, () -> ordered(op, tries + 1));
        }
    }

    // ---- The world's scene ----

    @Override
    public SimulatedNode<Message> start(
            int node, int startNumber, String address, double nodeMs, RandomGenerator chance) {
        PolicySettings own = node == unfit
                ? OWN.overriddenBy(PolicySettings.parse("{\"opTypes\":{\"orders\":{\"timeoutMs\":2500}}}"))
                : OWN;
        names[node] = "";
        if (leading == node) {
            leading = -1;
        }
        return new PolicyGuest(node, startNumber, own, chance, nodeMs);
    }

    @Override
    public long mark(Message message) {
        return message.kind().hashCode()
                ^ (message.ask() != null
                        ? message.ask().nonce()
                        : message.told() != null ? message.told().nonce() : 7);
    }

    @Override
    public void faulted(Fault fault, boolean ends, double worldMs) {
        line(fault + (ends ? " ends" : ""));
    }

    @Override
    public void stepped(int node, SimulatedNode<Message> guest, double worldMs, double nodeMs) {
        PolicyGuest stepped = (PolicyGuest) guest;
        PolicyLease now = stepped.follower.lease() == null
                ? null
                : stepped.follower.lease().activeAt(nodeMs);
        String name = now == null ? "" : now.label();
        boolean leased = now != null && !name.endsWith("?");
        double graceMs = TIMES.leaseMs() / (1 - TIMES.maxClockDrift()) + 2 * LOOK_MS;
        if (leased && worldMs - isolatedMs[node] > graceMs && isolated(node)) {
            breach(
                    "(e) out of touch it stops",
                    "n" + node + " goes by " + name + ", alone for " + Math.round(worldMs - isolatedMs[node]) + " ms");
        }
        if (name.equals(names[node]) || now == null) {
            return;
        }
        line("n" + node + " goes by " + name);
        changes++;
        if (names[node].isEmpty() && name.equals("0?") && nodeMs - stepped.bornMs < TIMES.startupTimeoutMs()) {
            breach(
                    "ready late enough",
                    "n" + node + " serves after " + Math.round(nodeMs - stepped.bornMs) + " ms and has heard nothing");
        }
        strict(node, now);
        if (leased) {
            order(node, name);
            refused(node, name);
            for (int other = 0; other < size; other++) {
                if (other != node && world.runs(other) && !world.stands(other)) {
                    instant(node, name, other);
                }
            }
        }
        names[node] = name;
    }

    private static List<Long> numbers(String name) {
        List<Long> numbers = new ArrayList<>();
        for (String number : name.replace("?", "").split("\\|")) {
            numbers.add(Long.parseLong(number));
        }
        return numbers;
    }

    /** Whatever a node goes by is within each version that it names. */
    private void strict(int node, PolicyLease now) {
        for (long number : numbers(now.label())) {
            double budgetMs = budgets.getOrDefault(number, 0.0);
            if (now.settings().number(BUDGET) > budgetMs + 1e-9) {
                breach(
                        "guarded is the stricter",
                        "n" + node + " by " + now.label() + " has a budget of "
                                + now.settings().number(BUDGET) + ", " + number + " has " + budgetMs);
            }
        }
        if (now.isJoint() != (now.label().contains("|") || now.label().endsWith("?"))) {
            breach("guarded is the stricter", "n" + node + " by " + now.label() + " does not say so");
        }
    }

    private void order(int node, String name) {
        long base = numbers(name).get(0);
        if (!held.contains(base)) {
            breach("(a) one order", "n" + node + " goes by " + name + ", and " + base + " never held");
        } else if (base < lastAlone[node]) {
            breach("(a) one order", "n" + node + " goes by " + name + " after " + lastAlone[node]);
        } else if (!names[node].isEmpty()
                && !names[node].endsWith("?")
                && held.indexOf(base) > held.indexOf(numbers(names[node]).get(0)) + 1) {
            breach("(a) one order", "n" + node + " goes by " + name + " after " + names[node] + " and skipped some");
        }
        lastAlone[node] = base;
    }

    private void refused(int node, String name) {
        TreeSet<Long> over = new TreeSet<>();
        log.finished().stream()
                .filter(entry -> entry.stage() != Stage.HOLDS)
                .forEach(entry -> over.add(entry.number()));
        over.retainAll(numbers(name));
        if (!over.isEmpty()) {
            breach(
                    "(b) refused is never",
                    "n" + node + " goes by " + name + ", and " + over + " was refused or aborted");
        }
    }

    private void instant(int node, String name, int other) {
        PolicyLease ruling = guest(other).follower.lease();
        PolicyLease theirs = ruling == null ? null : ruling.activeAt(world.clock(other));
        if (theirs == null || theirs.label().endsWith("?")) {
            return;
        }
        List<Long> one = numbers(name);
        List<Long> two = numbers(theirs.label());
        boolean same = one.stream().anyMatch(two::contains) && (one.size() > 1 || two.size() > 1 || one.equals(two));
        if (!same) {
            breach(
                    "(c) one version at an instant",
                    "n" + node + " goes by " + name + " while n" + other + " goes by " + theirs.label());
        }
    }

    /** Long after the last fault: nothing is open, and all that run go by what holds. */
    void settled(int lastBudgetMs) {
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
            PolicyLease ruling = world.runs(node) ? guest(node).follower.lease() : null;
            String name = ruling == null
                    ? "nothing"
                    : ruling.activeAt(world.clock(node)).label();
            if (world.runs(node)
                    && guest(node).follower.incompatibility().isEmpty()
                    && !name.equals(Long.toString(log.active().number()))) {
                breach(
                        "all go by what holds",
                        "n" + node + " goes by " + name + ", and "
                                + log.active().number() + " holds");
            }
        }
    }
}

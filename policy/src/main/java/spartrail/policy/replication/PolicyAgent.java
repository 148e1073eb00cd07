package spartrail.policy.replication;

import io.microraft.model.message.RaftMessage;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Clock;
import java.time.Instant;
import java.time.ZoneId;
import java.time.ZoneOffset;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import spartrail.peers.MembershipView;
import spartrail.policy.LogOperation;
import spartrail.policy.PolicyFollower;
import spartrail.policy.PolicyLease;
import spartrail.policy.PolicyLog;
import spartrail.policy.PolicyRequest;
import spartrail.policy.PolicyResponse;
import spartrail.policy.PolicyService;
import spartrail.policy.PolicySettings;
import spartrail.policy.PolicyTimings;

/**
 * A node's part in versions of policy and the thread that owns it: its {@link PolicyFollower}, where it is one of the deciding
 * nodes its {@link RaftReplica}, and the messages of both. It decides nothing.
 */
final class PolicyAgent implements PolicyService.Running, RaftReplica.Place, Runnable {
    private static final System.Logger LOG = System.getLogger("spartrail.governing");
    private static final double LONGEST_WAIT_MS = 50;
    private static final int MOST_QUEUED = 10_000;

    private record Scheduled(double atMs, long number, Runnable task) {}

    private final Path folder;
    private final PolicyService.Host host;
    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final PriorityQueue<Scheduled> later =
            new PriorityQueue<>(Comparator.comparingDouble(Scheduled::atMs).thenComparingLong(Scheduled::number));
    private final Map<String, String> addresses = new HashMap<>();
    private final List<String> there = new ArrayList<>();
    private final CountDownLatch ruled = new CountDownLatch(1);
    private final RandomGenerator chance = RandomGenerator.of("L64X128MixRandom");
    private Context carrier;
    private PolicyTimings times;
    private List<String> deciders = List.of();
    private PolicyFollower follower;
    private RaftReplica deciding;
    private RaftLogStore journal;
    private DatagramReassembler pieces;
    private Thread thread;
    private PolicyLease given;
    private String name = "";
    private String told = "";
    private long checking;
    private boolean leading;
    private boolean trying;
    private long count;
    private volatile boolean ended;

    PolicyAgent(Path folder, PolicyService.Host host) {
        this.folder = folder;
        this.host = host;
    }

    @Override
    public int number() {
        return PolicyMessageCodec.LANE;
    }

    @Override
    public void start(Context by) {
        carrier = by;
        PolicyConfig said = new PolicyConfig(by.section("policy"));
        times = said.times;
        deciders = said.deciders;
        pieces = new DatagramReassembler(Context.MAX_MESSAGE_BYTES, chance.nextInt());
        follower = new PolicyFollower(by.nodeName(), deciders, host.localSettings(), times, chance, host.nowMs());
        thread = new Thread(this, "spartrail-policy");
        thread.setDaemon(true);
        thread.start();
    }

    // ---- From other threads ----

    @Override
    public void onMessage(String from, byte[] piece) {
        if (queue.size() < MOST_QUEUED) {
            queue.add(() -> {
                byte[] message = pieces.add(from, piece);
                if (message != null) {
                    message(from, message);
                }
            });
        }
    }

    @Override
    public void onView(MembershipView view) {
        Map<String, String> known = new HashMap<>();
        List<String> names = new ArrayList<>();
        for (MembershipView.Entry seen : view.peers()) {
            known.put(seen.descriptor().name(), seen.descriptor().address());
            if (seen.state().isPresent()) {
                names.add(seen.descriptor().name());
            }
        }
        queue.add(() -> {
            boolean met = deciders.stream()
                    .anyMatch(decider -> known.containsKey(decider) && !addresses.containsKey(decider));
            addresses.clear();
            addresses.putAll(known);
            there.clear();
            there.addAll(names);
            if (met) {
                follower.pollNoLaterThan(host.nowMs());
            }
        });
    }

    @Override
    public void updateLocalSettings(PolicySettings changed) {
        queue.add(() -> follower.updateLocalSettings(changed));
    }

    @Override
    public void awaitFirstLease() throws InterruptedException {
        while (!ruled.await(10, TimeUnit.SECONDS)) {
            LOG.log(
                    System.Logger.Level.WARNING,
                    "not ready: "
                            + (follower.incompatibility().isEmpty()
                                    ? "no deciding node has said yet what holds"
                                    : follower.incompatibility()));
        }
    }

    // ---- The thread ----

    @Override
    public void execute(Runnable task) {
        queue.add(task);
    }

    @Override
    public void submit(Runnable task) {
        queue.add(task);
    }

    @Override
    public void schedule(Runnable task, long delay, TimeUnit unit) {
        double atMs = host.nowMs() + unit.toNanos(delay) / 1e6;
        queue.add(() -> later.add(new Scheduled(atMs, count++, task)));
    }

    /** The library's clock never steps. */
    @Override
    public Clock clock() {
        return new Clock() {
            @Override
            public ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(ZoneId zone) {
                return this;
            }

            @Override
            public Instant instant() {
                return Instant.ofEpochMilli((long) host.nowMs());
            }
        };
    }

    @Override
    public void run() {
        guarded(this::openLog);
        while (!ended) {
            try {
                double dueMs = Math.min(
                        later.isEmpty() ? Double.POSITIVE_INFINITY : later.peek().atMs, follower.nextPollAtMs());
                double waitMs = Math.max(0, Math.min(LONGEST_WAIT_MS, dueMs - host.nowMs()));
                Runnable task = queue.poll((long) (1e6 * waitMs), TimeUnit.NANOSECONDS);
                for (; task != null; task = queue.poll()) {
                    guarded(task);
                }
                while (!later.isEmpty() && later.peek().atMs <= host.nowMs()) {
                    guarded(later.poll().task);
                }
                guarded(this::step);
            } catch (InterruptedException e) {
                ended = true;
            }
        }
        if (deciding != null) {
            deciding.close();
        }
        try {
            if (journal != null) {
                journal.close();
            }
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing", e);
        }
    }

    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            LOG.log(System.Logger.Level.ERROR, "exception in the part in policy", e);
        }
    }

    /** Danger: a deciding node that lost its disk would vote a second time; without its log it takes no part in deciding. */
    private void openLog() {
        if (!deciders.contains(carrier.nodeName())) {
            return;
        }
        try {
            if (!RaftLogStore.exists(folder)) {
                throw new IOException(
                        folder + ": holds no log of policy; 'spartrail policy found' makes those of a new set");
            }
            journal = new RaftLogStore(folder, carrier.fleetName(), carrier.nodeName());
            deciding = new RaftReplica(
                    carrier.nodeName(),
                    carrier.fleetName(),
                    journal,
                    times,
                    this,
                    new Random(chance.nextLong()),
                    this::carry,
                    addresses::containsKey,
                    this::changed);
            carrier.recordEvent("decider", "on", true);
        } catch (IOException e) {
            journal = null;
            LOG.log(System.Logger.Level.ERROR, "does not decide about policy: " + e.getMessage());
            carrier.recordEvent("decider", "on", false, "why", e.getMessage());
        }
    }

    private void step() {
        double nowMs = host.nowMs();
        if (deciding != null) {
            deciding.step(there, nowMs);
            if (leading != deciding.isLeader()) {
                leading = !leading;
                LOG.log(System.Logger.Level.INFO, leading ? "leads those that decide about policy" : "leads no longer");
                carrier.recordEvent("leads", "on", leading);
            }
        }
        PolicyRequest ask = follower.pollIfDue(nowMs);
        if (ask != null) {
            ask(ask, nowMs);
        }
        PolicyLog.Entry open = follower.proposalToCheck();
        if (open != null && checking != open.number()) {
            checking = open.number();
            check(open);
        }
        PolicyLease ruling = follower.lease();
        if (ruling != null && ruling != given) {
            given = ruling;
            CrashPoint.reached("before", "becoming", "RULING");
            host.apply(ruling);
            ruled.countDown();
            CrashPoint.reached("after", "becoming", "RULING");
        }
        String by = ruling == null ? "" : ruling.activeAt(nowMs).label();
        if (!by.equals(name)) {
            name = by;
            LOG.log(System.Logger.Level.INFO, "goes by policy " + by);
            carrier.recordEvent(
                    "policy",
                    "by",
                    by,
                    "guarded",
                    ruling != null && ruling.activeAt(nowMs).isJoint());
        }
    }

    private void ask(PolicyRequest ask, double nowMs) {
        if (deciding != null && deciding.isLeader()) {
            deciding.onPoll(ask, nowMs, told -> {
                if (told != null) {
                    told(told);
                }
            });
            return;
        }
        send(addresses.get(follower.pollTarget()), PolicyMessageCodec.ask(ask));
    }

    private void told(PolicyResponse heard) {
        follower.onResponse(heard, host.nowMs());
        String state = heard.active().number()
                + (heard.pending() == null
                        ? ""
                        : " " + heard.pending().number() + " " + heard.pending().stage());
        if (!state.equals(told)) {
            told = state;
            carrier.recordEvent(
                    "told",
                    "holds",
                    heard.active().number(),
                    "open",
                    heard.pending() == null ? 0 : heard.pending().number(),
                    "stage",
                    heard.pending() == null ? "" : heard.pending().stage().name());
        }
    }

    /** Away from this thread: a version that hurts must not keep the node from asking. */
    private void check(PolicyLog.Entry open) {
        Thread checker = new Thread(
                () -> {
                    String no = no(open);
                    queue.add(() -> {
                        carrier.recordEvent("vote", "number", open.number(), "no", no);
                        LOG.log(
                                System.Logger.Level.INFO,
                                "proposal " + open.number() + ": " + (no.isEmpty() ? "can be applied" : no));
                        CrashPoint.reached("before", "becoming", "VOTE");
                        follower.recordVote(open.number(), no, host.nowMs());
                        CrashPoint.reached("after", "becoming", "VOTE");
                    });
                },
                "spartrail-policy-check");
        checker.setDaemon(true);
        checker.start();
    }

    private String no(PolicyLog.Entry open) {
        try {
            PolicySettings terms = follower.settingsWith(open);
            String alone = host.rehearse(terms);
            PolicyResponse last = follower.lastResponse();
            return !alone.isEmpty()
                    ? alone
                    : host.rehearse(follower.settingsWith(last.active()).stricterOf(terms));
        } catch (RuntimeException | Error e) {
            return String.valueOf(e.getMessage());
        }
    }

    // ---- Messages ----

    private void message(String from, byte[] bytes) {
        try {
            List<?> plain = PolicyMessageCodec.plain(bytes);
            switch (PolicyMessageCodec.intAt(plain, 0)) {
                case PolicyMessageCodec.ASK -> asked(from, PolicyMessageCodec.ask(plain));
                case PolicyMessageCodec.TOLD -> told(PolicyMessageCodec.told(plain));
                case PolicyMessageCodec.ELSEWHERE -> follower.onRedirect((String) plain.get(2), host.nowMs());
                case PolicyMessageCodec.NEWS -> follower.pollNoLaterThan(host.nowMs());
                case PolicyMessageCodec.LOG -> {
                    if (deciding != null) {
                        RaftMessage message = RaftMessageCodec.message((List<?>) plain.get(1));
                        deciding.onMessage(message);
                    }
                }
                case PolicyMessageCodec.ORDER -> {
                    if (carrier.isOperator(from)) {
                        order(from, plain);
                    }
                }
                case PolicyMessageCodec.QUESTION -> {
                    if (carrier.isOperator(from)) {
                        asked(from, plain.get(1), (String) plain.get(2));
                    }
                }
                default -> {}
            }
        } catch (IOException | RuntimeException e) {
            LOG.log(System.Logger.Level.DEBUG, "unreadable message about policy from " + from, e);
        }
    }

    private void asked(String from, PolicyRequest ask) {
        if (deciding == null) {
            send(from, List.of(PolicyMessageCodec.ELSEWHERE, ask.nonce(), ""));
            return;
        }
        deciding.onPoll(ask, host.nowMs(), told -> {
            if (told != null) {
                send(from, PolicyMessageCodec.told(told));
            } else {
                send(
                        from,
                        List.of(
                                PolicyMessageCodec.ELSEWHERE,
                                ask.nonce(),
                                deciding.isLeader() ? "" : deciding.leaderName()));
            }
        });
    }

    /** An operator's question. */
    private void asked(String from, Object token, String what) {
        if (what.startsWith(PolicyMessageCodec.CHECK)) {
            tryOut(from, token, what.substring(PolicyMessageCodec.CHECK.length()));
            return;
        }
        send(
                from,
                List.of(
                        PolicyMessageCodec.REPLY,
                        token,
                        what.equals("show")
                                ? page()
                                : CrashPoint.all().contains(what) && CrashPoint.arm(what)
                                        ? "armed"
                                        : "unknown question"));
    }

    /** Whether this node could apply these settings, and what would change for it. One at a time: a rehearsal costs CPU. */
    private void tryOut(String from, Object token, String settings) {
        if (trying || follower.lease() == null) {
            send(from, List.of(PolicyMessageCodec.REPLY, token, "!busy"));
            return;
        }
        trying = true;
        PolicyLog.Entry entry = new PolicyLog.Entry(0, settings, from, PolicyLog.Stage.PROPOSED, "", "");
        PolicySettings now = follower.lease().settings();
        Thread checker = new Thread(
                () -> {
                    String no = no(entry);
                    String said = no.isEmpty()
                            ? String.join("\n", now.differencesTo(follower.settingsWith(entry)))
                            : "!" + no;
                    queue.add(() -> {
                        trying = false;
                        send(from, List.of(PolicyMessageCodec.REPLY, token, said));
                    });
                },
                "spartrail-policy-check");
        checker.setDaemon(true);
        checker.start();
    }

    private void order(String from, List<?> plain) {
        LogOperation op = new LogOperation(
                LogOperation.Kind.valueOf((String) plain.get(2)),
                PolicyMessageCodec.longAt(plain, 3),
                (String) plain.get(4),
                (String) plain.get(5),
                (String) plain.get(1));
        if (op.kind() != LogOperation.Kind.PROPOSE && op.kind() != LogOperation.Kind.ABORT) {
            return;
        }
        if (deciding == null) {
            send(from, List.of(PolicyMessageCodec.DONE, op.token(), "", addressOfLeader()));
            return;
        }
        deciding.replicate(
                op,
                came -> send(
                        from,
                        List.of(PolicyMessageCodec.DONE, op.token(), came == null ? "" : came, addressOfLeader())));
    }

    private String addressOfLeader() {
        String leads = deciding != null ? deciding.leaderName() : follower.pollTarget();
        return addresses.getOrDefault(leads, "");
    }

    private String page() {
        return PolicyStatusPage.of(carrier.nodeName(), given, follower, deciding, addressOfLeader(), host.nowMs());
    }

    private void carry(String to, RaftMessage message) {
        send(addresses.get(to), List.of(PolicyMessageCodec.LOG, RaftMessageCodec.plain(message)));
    }

    /** The log has moved on: all that are there are to ask anew. */
    private void changed() {
        PolicyLog log = deciding.log();
        carrier.recordEvent(
                "log",
                "holds",
                log.active().number(),
                "open",
                log.pending() == null ? 0 : log.pending().number(),
                "stage",
                log.pending() == null ? "" : log.pending().stage().name(),
                "leading",
                deciding.isLeader(),
                "last",
                log.finished().isEmpty()
                        ? ""
                        : log.finished().get(log.finished().size() - 1).number() + " "
                                + log.finished().get(log.finished().size() - 1).stage() + " "
                                + log.finished().get(log.finished().size() - 1).reason());
        if (deciding.isLeader()) {
            there.forEach(node -> send(addresses.get(node), List.of(PolicyMessageCodec.NEWS)));
            follower.pollNoLaterThan(host.nowMs());
        }
    }

    private void send(String address, List<?> plain) {
        if (address == null || address.isEmpty()) {
            return;
        }
        int kind = PolicyMessageCodec.intAt(plain, 0);
        String called = kind == PolicyMessageCodec.LOG
                ? RaftMessageCodec.NAMES.get(PolicyMessageCodec.intAt((List<?>) plain.get(1), 0) - 1)
                : PolicyMessageCodec.NAMES.get(kind);
        CrashPoint.reached("before", "sending", called);
        pieces.split(PolicyMessageCodec.bytes(plain)).forEach(piece -> carrier.send(address, piece));
        CrashPoint.reached("after", "sending", called);
    }

    @Override
    public void close() {
        ended = true;
        try {
            thread.join(2000);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

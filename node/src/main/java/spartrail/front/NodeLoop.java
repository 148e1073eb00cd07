package spartrail.front;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.xnio.XnioIoThread;
import spartrail.client.Ask;
import spartrail.client.ClientDoor;
import spartrail.client.ClientRequest;
import spartrail.client.Reply;
import spartrail.coordination.Coordinator;
import spartrail.discovery.HostWatch;
import spartrail.front.ClientMultiget.Underway;
import spartrail.membership.EndpointList;
import spartrail.model.Call;
import spartrail.model.Decisions;
import spartrail.model.FleetWord;
import spartrail.model.Invariants;
import spartrail.model.Multiget;
import spartrail.model.NodeClock;
import spartrail.model.OpType;
import spartrail.model.Part;
import spartrail.model.Send;
import spartrail.model.Server;
import spartrail.model.Timetable;
import spartrail.provisioning.DeploymentFile;
import spartrail.record.MultigetRecord;
import spartrail.shard.PartRequest;
import spartrail.shard.ShardPool;
import spartrail.subset.SubsetFilter;

/**
 * The one thread that owns the module, the multigets in hand and their timer. Socket code reaches it through
 * its queue only, and is reached by tasks for the I/O thread only. It goes in turns: all that is queued is
 * taken, then what was decided is carried out, so that parts which leave in one turn share their calls. It
 * decides nothing.
 */
final class NodeLoop implements Runnable, ClientDoor.Taker, ShardPool.Ends, HostWatch.Listener {
    private static final System.Logger LOG = System.getLogger("spartrail.front");
    private static final double COUNTED_MS = 60_000;

    private final Coordinator coordinator;
    /** Shared with the module: where settings change, others take their places in it. */
    private final List<OpType> opTypes;

    private final Map<String, OpType> byName = new HashMap<>();
    private final NodeClock clock;
    private final XnioIoThread io;
    private final Invariants invariants;
    private final double turnMs;
    private int openCap;
    private int mostSends;
    /** How many front nodes the settings tell of, and what is known of the fleet. */
    private int toldNodes;

    private FleetWord fleet;
    /** By whose word it goes, if by any, and the settings that this one means. */
    private Ruled ruled;

    private DeploymentFile goesBy;
    private String version = "";
    private MultigetRecord record;
    private long turnNs;

    private final LinkedBlockingQueue<Runnable> queue = new LinkedBlockingQueue<>();
    private final Map<String, ClientMultiget> inHand = new HashMap<>();
    /** Servers that are not gone, as last listed. */
    private final Map<String, EndpointList.Endpoint> hosts = new HashMap<>();

    private final Timetable timetable = new Timetable();
    private final Standstill standstill;
    private final Counters counters = new Counters();
    private ShardPool servers;
    private HostWatch watch;
    private SubsetFilter subset;

    /** When the last answer is to be given. */
    private double answerByMs = Double.POSITIVE_INFINITY;

    private double nowMs;
    /** When this thread wakes at the latest. */
    private double dueMs;

    private int open;
    private boolean dueTurn;
    private volatile boolean ended;

    // What this turn has decided.
    private final List<Send> sends = new ArrayList<>();
    private final List<Multiget> answers = new ArrayList<>();
    private final List<Send> cancels = new ArrayList<>();
    /** Multigets whose clients have gone. */
    private final List<ClientMultiget> left = new ArrayList<>();

    private final List<InetSocketAddress> barred = new ArrayList<>();
    /** Lists that the I/O thread has read and waits for. */
    private int listsTaken;

    private boolean follow;

    NodeLoop(
            Coordinator coordinator,
            List<OpType> opTypes,
            NodeClock clock,
            XnioIoThread io,
            double turnMs,
            int openCap,
            int mostSends,
            int toldNodes,
            Invariants invariants) {
        this.coordinator = coordinator;
        this.opTypes = opTypes;
        opTypes.forEach(op -> byName.put(op.name, op));
        this.clock = clock;
        this.io = io;
        this.turnMs = turnMs;
        this.openCap = openCap;
        this.mostSends = mostSends;
        this.toldNodes = toldNodes;
        this.fleet = FleetWord.told(toldNodes);
        this.invariants = invariants;
        this.standstill = new Standstill(turnMs);
    }

    /** Before the loop starts: tells its own servers from all that are listed; null where it uses all. */
    void subset(SubsetFilter filter) {
        subset = filter;
    }

    /** Before the loop starts: what it reaches, and the list as it was last had. */
    void tie(ShardPool pool, HostWatch hosts, EndpointList known) {
        servers = pool;
        watch = hosts;
        nowMs = clock.nowMs();
        list(known, false);
        timetable.add(nowMs + COUNTED_MS, this::logCounters);
    }

    private void logCounters() {
        LOG.log(
                System.Logger.Level.INFO,
                counters + ", in hand " + inHand.size() + ", invariants broken " + invariants.broken());
        timetable.add(nowMs + COUNTED_MS, this::logCounters);
    }

    /** Takes what was asked before, answers all that is in hand, and ends. */
    void end() {
        queue.add(() -> {
            inHand.values().stream()
                    .filter(mg -> !answers.contains(mg) && !left.contains(mg))
                    .toList()
                    .forEach(this::fail);
            ended = true;
        });
    }

    private void fail(ClientMultiget mg) {
        mg.over = true;
        mg.answer = Multiget.Answer.FAILED;
        answers.add(mg);
    }

    /** No multiget that is placed from now on has more time than until then. */
    void answerBy(double ms) {
        queue.add(() -> answerByMs = ms);
    }

    /** The module goes by these settings from the next turn on; multigets in hand keep the times they were given. */
    void renew(DeploymentFile changed) {
        queue.add(() -> renewNow(changed));
    }

    private void renewNow(DeploymentFile changed) {
        changed.renew(coordinator, opTypes);
        opTypes.forEach(op -> byName.put(op.name, op));
        openCap = changed.openCap();
        mostSends = changed.mostSends();
        fleet = fleet.heard() ? fleet : FleetWord.told(changed.nodes());
        toldNodes = changed.nodes();
        tellFleet();
        version = changed.version();
        counters.switches++;
        LOG.log(System.Logger.Level.INFO, "settings switched: " + counters + ", in hand " + inHand.size());
    }

    /** It goes by this from now on, and by what comes next as soon as that is over. */
    void rule(Ruled given) {
        queue.add(() -> {
            ruled = given;
            rule();
        });
    }

    /**
     * Settings that are over decide nothing. Danger: a process that stood still wakes with a full queue; so this comes first in
     * each turn, before anything that waits.
     */
    private void rule() {
        while (ruled != null && nowMs >= ruled.untilMs()) {
            ruled = ruled.next();
        }
        if (ruled != null && ruled.deployment() != goesBy) {
            goesBy = ruled.deployment();
            renewNow(goesBy);
        }
    }

    /** Before the loop starts: keeps a record of the multigets taken. */
    void record(MultigetRecord kept, String startedBy) {
        record = kept;
        version = startedBy;
    }

    /** What is known of the fleet has changed; the module goes by it from the next turn on. */
    void fleet(FleetWord word) {
        queue.add(() -> {
            fleet = word;
            tellFleet();
        });
    }

    private void tellFleet() {
        int nodes = fleet.nodes(toldNodes);
        coordinator.nodes(subset == null ? nodes : subset.nodesPerServer(nodes), turnMs);
    }

    Counters counters() {
        return counters;
    }

    // ---- News from the sockets, on the I/O thread ----

    @Override
    public void asked(Ask ask, ClientRequest request) {
        queue.add(() -> place(ask, request));
    }

    @Override
    public void gone(ClientRequest request) {
        queue.add(() -> {
            ClientMultiget mg = inHand.get(request.id);
            if (mg != null && mg.request == request) {
                counters.gone++;
                left.add(mg);
                take(coordinator.clientGone(mg, nowMs));
            }
        });
    }

    @Override
    public void ended(PartRequest part, Send.Outcome outcome, byte[] value, double atMs) {
        queue.add(() -> after(part.send(), outcome, value, atMs));
    }

    @Override
    public void listed(EndpointList list) {
        // Danger: until this list is taken, what was decided by the one before would leave for servers that it ends.
        if (Thread.currentThread() == io) {
            servers.hold();
        } else {
            io.execute(servers::hold);
        }
        queue.add(() -> {
            listsTaken++;
            list(list, true);
        });
    }

    @Override
    public void unlisted() {
        queue.add(() -> take(coordinator.unlisted(nowMs)));
    }

    // ---- Turns ----

    @Override
    public void run() {
        double lastTurnMs = 0;
        boolean looking = false;
        dueMs = clock.nowMs();
        standstill.plan(dueMs);
        while (!ended) {
            try {
                long waitNs = looking ? Long.MAX_VALUE : (long) (1e6 * (dueMs - clock.nowMs()));
                Runnable first = queue.poll(Math.max(0, waitNs), TimeUnit.NANOSECONDS);
                if (first == null) {
                    looking = true;
                    nowMs = clock.nowMs();
                    standstill.woke(nowMs);
                    standstill.plan(nowMs);
                    lookAtSockets();
                    continue;
                }
                double earlyMs = lastTurnMs + turnMs - clock.nowMs();
                if (earlyMs > 0) {
                    TimeUnit.NANOSECONDS.sleep((long) (1e6 * earlyMs));
                }
                turnNs = System.nanoTime();
                nowMs = clock.nowMs();
                lastTurnMs = nowMs;
                guarded(this::rule);
                standstill.woke(nowMs);
                for (Runnable next = first; next != null; next = queue.poll()) {
                    guarded(next);
                }
                if (dueTurn) {
                    dueTurn = false;
                    looking = false;
                    standstill.passed();
                    guarded(() -> timetable.run(nowMs));
                    guarded(() -> take(coordinator.waited(nowMs)));
                }
                guarded(this::carryOut);
                dueMs = nowMs + turnMs;
                guarded(() -> dueMs = Math.min(nowMs + coordinator.waitMs(nowMs), timetable.nextMs()));
                dueMs = standstill.passWanted() ? nowMs : dueMs;
                if (!looking) {
                    standstill.plan(dueMs);
                }
            } catch (InterruptedException e) {
                ended = true;
            }
        }
    }

    /**
     * Has the I/O thread take what waits in the sockets before anything that is due. Danger: a node that
     * stood still would time out what was answered long ago.
     */
    private void lookAtSockets() {
        io.execute(() -> io.executeAfter(() -> queue.add(() -> dueTurn = true), 1, TimeUnit.MILLISECONDS));
    }

    /** What goes wrong in one call ends there; a multiget that is hurt by it is failed when its time is over. */
    private void guarded(Runnable task) {
        try {
            task.run();
        } catch (RuntimeException | Error e) {
            counters.exceptions.increment();
            LOG.log(System.Logger.Level.ERROR, "exception, the call that threw it is given up", e);
        }
    }

    private void place(Ask ask, ClientRequest request) {
        counters.taken++;
        if (record != null) {
            record.taken(ask, request.arrivedMs, turnNs, ruled == null ? version : ruled.name());
        }
        if (inHand.containsKey(ask.id()) || open + 1 + ask.parts().size() > openCap) {
            counters.overCap++;
            io.execute(() -> request.answer(Reply.pushedBack(0)));
            return;
        }
        ClientMultiget mg = new ClientMultiget(ask, request);
        mg.id = hash(ask.id());
        mg.opType = byName.get(ask.opType());
        mg.key = ask.key();
        mg.clientRetry = ask.retry();
        mg.arrivedMs = request.arrivedMs - standstill.gapMs();
        // Danger: what a client asks to be waited for is not bounded by anything it has to give.
        double leftMs = Math.min(ask.clientLeftMs(), mg.opType.timeoutMs) - (nowMs - mg.arrivedMs);
        mg.clientLeftMs = Math.min(leftMs, answerByMs - nowMs);
        for (Ask.AskedPart asked : ask.parts()) {
            Part part = new Part();
            part.id = asked.shard();
            part.multiget = mg;
            part.shard = coordinator.shard(asked.shard());
            part.weight = asked.weight();
            part.costMs = asked.costMs();
            mg.costMs += asked.costMs();
            mg.parts.add(part);
        }
        inHand.put(ask.id(), mg);
        open += mg.size();
        // Danger: whatever goes wrong in the decisions, the client gets its one final answer.
        mg.lastResort = timetable.add(nowMs + mg.clientLeftMs, () -> {
            boolean answered = inHand.get(ask.id()) != mg || answers.contains(mg) || left.contains(mg);
            if (!answered) {
                fail(mg);
            }
            invariants.holds(answered, "a multiget is answered in the client's time");
        });
        take(coordinator.place(mg, nowMs));
    }

    private void after(Send send, Send.Outcome outcome, byte[] value, double atMs) {
        counters.outcomes.merge(outcome, 1L, Long::sum);
        ClientMultiget mg = (ClientMultiget) send.part.multiget;
        Underway underway = mg.underway.remove(send);
        if (underway != null) {
            timetable.remove(underway.timeOut());
        }
        if (outcome == Send.Outcome.ANSWERED && send.part.open()) {
            mg.values.put(send.part, value);
        }
        take(coordinator.after(send, outcome, Math.max(0, atMs - send.sentMs), nowMs));
    }

    private void list(EndpointList listed, boolean fresh) {
        EndpointList list = listed;
        if (subset != null) {
            list = subset.own(listed, nowMs);
            // Danger: where a shard has fewer replicas, more nodes share each of them, and a cold one among them.
            tellFleet();
        }
        Set<String> changed = new HashSet<>();
        Set<String> gone = list.all() ? new HashSet<>(hosts.keySet()) : new HashSet<>();
        for (EndpointList.Endpoint line : list.lines()) {
            if (line.state() == Server.State.GONE) {
                gone.add(line.id());
                continue;
            }
            gone.remove(line.id());
            EndpointList.Endpoint old = hosts.put(line.id(), line);
            if (old == null || !line.address().equals(old.address()) || line.bootMs() != old.bootMs()) {
                changed.add(line.id());
                barred.add(line.address());
            }
            if (line.state() == Server.State.DRAINING) {
                changed.add(line.id());
                barred.add(line.address());
            }
        }
        for (String id : gone) {
            EndpointList.Endpoint line = hosts.remove(id);
            if (line != null) {
                changed.add(id);
                barred.add(line.address());
            }
        }
        counters.lists++;
        // Danger: what this turn decided before it came to the list was decided for the servers as they were.
        sends.removeIf(send -> changed.contains(send.server.id) && unsent(send));
        take(coordinator.listed(servers(list, clock), list.all(), fresh, nowMs));
    }

    /** The lines of a list as the module takes them. */
    static List<Server> servers(EndpointList list, NodeClock clock) {
        List<Server> lines = new ArrayList<>();
        for (EndpointList.Endpoint line : list.lines()) {
            Server server = new Server(line.id());
            server.zone = line.zone();
            server.kind = line.kind();
            server.cell = line.cell();
            server.state = line.state();
            server.rating = line.rating();
            server.bornMs = line.bootMs() > 0 ? clock.at(line.bootMs()) : -1;
            lines.add(server);
        }
        return lines;
    }

    // ---- What was decided ----

    private void take(Decisions decisions) {
        sends.addAll(decisions.sends);
        answers.addAll(decisions.answers);
        cancels.addAll(decisions.cancels);
        follow |= decisions.follow;
    }

    /** One task for the I/O thread: frames first, then what is taken back, then answers. */
    private void carryOut() {
        List<Runnable> tasks = new ArrayList<>();
        barred.forEach(address -> tasks.add(() -> servers.bar(address)));
        barred.clear();
        calls(tasks);
        if (listsTaken > 0) {
            int lists = listsTaken;
            listsTaken = 0;
            tasks.add(() -> servers.go(lists));
        }
        for (Send send : cancels) {
            Underway underway = ((ClientMultiget) send.part.multiget).underway.get(send);
            if (underway != null) {
                tasks.add(() -> servers.withdraw(underway.part(), Send.Outcome.CANCELLED));
            }
        }
        cancels.clear();
        left.forEach(mg -> release(mg, tasks));
        left.clear();
        for (Multiget answered : answers) {
            ClientMultiget mg = (ClientMultiget) answered;
            if (release(mg, tasks)) {
                Reply reply = reply(mg);
                tasks.add(() -> mg.request.answer(reply));
            }
        }
        answers.clear();
        if (follow) {
            follow = false;
            tasks.add(watch::start);
        }
        if (!tasks.isEmpty()) {
            io.execute(() -> tasks.forEach(this::guarded));
        }
    }

    private boolean unsent(Send send) {
        return queue.add(() -> after(send, Send.Outcome.NOT_SENT, null, send.sentMs));
    }

    private void calls(List<Runnable> tasks) {
        Map<Call, List<PartRequest>> calls = new IdentityHashMap<>();
        List<Call> order = new ArrayList<>();
        for (Send send : sends) {
            ClientMultiget mg = (ClientMultiget) send.part.multiget;
            boolean toNobody = !hosts.containsKey(send.server.id);
            if (mg.over
                    || send.cancelled
                    || toNobody
                    || !invariants.holds(send.number < mostSends, "most sends of a part")) {
                unsent(send);
                continue;
            }
            double untilMs = Math.min(send.sentMs + send.timeoutMs, mg.clientAtMs);
            PartRequest part = new PartRequest(
                    send,
                    mg.ask.id() + '.' + send.part.shard.number,
                    send.part.shard.number,
                    mg.ask.text(),
                    untilMs,
                    mg.request::waited);
            mg.underway.put(
                    send,
                    new Underway(
                            part,
                            timetable.add(
                                    untilMs, () -> io.execute(() -> servers.withdraw(part, Send.Outcome.TIMED_OUT)))));
            calls.computeIfAbsent(send.call, call -> {
                        order.add(call);
                        return new ArrayList<>();
                    })
                    .add(part);
        }
        sends.clear();
        for (Call call : order) {
            List<PartRequest> parts = calls.get(call);
            InetSocketAddress address = hosts.get(parts.get(0).send().server.id).address();
            tasks.add(() -> servers.send(address, parts));
        }
    }

    /** Out of hand; false if it was so already. Danger: no part may leave once its multiget is over. */
    private boolean release(ClientMultiget mg, List<Runnable> tasks) {
        boolean held = inHand.remove(mg.ask.id(), mg);
        if (held) {
            open -= mg.size();
            timetable.remove(mg.lastResort);
            mg.underway.values().forEach(underway -> tasks.add(() -> servers.withdrawUnsent(underway.part())));
        }
        return held;
    }

    private Reply reply(ClientMultiget mg) {
        counters.answers.merge(mg.answer, 1L, Long::sum);
        switch (mg.answer) {
            case WHOLE, PARTIAL -> {
                List<Reply.Value> values = new ArrayList<>();
                mg.parts.stream()
                        .filter(part -> part.answered && mg.values.containsKey(part))
                        .forEach(part -> values.add(new Reply.Value(part.shard.number, mg.values.get(part))));
                boolean all = values.size() == mg.parts.size() || mg.opType.need < 1;
                boolean honest = all || mg.answer == Multiget.Answer.PARTIAL;
                guarded(() -> invariants.holds(honest, "a whole answer has all its parts"));
                return Reply.returned(mg.answer == Multiget.Answer.WHOLE && all, values);
            }
            case PUSHED_BACK -> {
                return Reply.pushedBack(mg.comebackMs);
            }
            default -> {
                return Reply.failed();
            }
        }
    }

    /** A number for the id, from all of its characters. */
    private static long hash(String id) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }
}

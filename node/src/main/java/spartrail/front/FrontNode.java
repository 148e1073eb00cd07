package spartrail.front;

import io.undertow.connector.ByteBufferPool;
import io.undertow.server.DefaultByteBufferPool;
import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;
import spartrail.client.ClientDoor;
import spartrail.coordination.Coordinator;
import spartrail.discovery.HostWatch;
import spartrail.members.MembersFile;
import spartrail.members.MembersHost;
import spartrail.membership.EndpointList;
import spartrail.model.Invariants;
import spartrail.model.NodeClock;
import spartrail.model.OpType;
import spartrail.peers.PeerLane;
import spartrail.peers.PeerTalk;
import spartrail.provisioning.DeploymentFile;
import spartrail.record.MultigetRecord;
import spartrail.shard.ShardPool;

/**
 * A front node that a program can embed: start it, let it drain, close it. One I/O thread does all that
 * concerns sockets; one thread owns the decisions.
 */
public final class FrontNode implements AutoCloseable {
    private static final System.Logger LOG = System.getLogger("spartrail.front");
    /**
     * A node that is asked to end is killed no sooner than the longest route timeout, taken as so long at the most,
     * and so much later.
     */
    private static final double LONGEST_COUNTED_MS = 3000;

    private static final double KILLED_AFTER_MS = 700;
    /**
     * Each answer is the last of its connection from so long before that, yet not before the front has heard; by so long
     * before that it has answered all it took.
     */
    private static final double LAST_TAKEN_MS = 1000;

    private static final double FRONT_HEARS_MS = 450;
    private static final double LAST_ANSWERED_MS = 150;
    /** What was answered last is on its way within this time. */
    private static final double CLOSING_MS = 50;
    /** Discovery's agent answers at once; one that is silent holds up no start. */
    private static final long FIRST_LIST_MS = 600;

    private static final int BUFFER = 8 * 1024;

    private final DeploymentFile deployment;
    private final InetSocketAddress listen;
    private final UnaryOperator<Coordinator> wrapping;
    private final Invariants invariants = new Invariants();
    private volatile boolean ending;
    private volatile boolean saidUp;
    private boolean closed;
    private XnioWorker worker;
    XnioIoThread io;
    private NodeLoop loop;
    private ShardPool servers;
    private HostWatch watch;
    private ClientDoor door;
    private Thread thread;
    private volatile double killedMs;
    private NodeClock clock;
    private MultigetRecord record;
    private MembersFile members;
    private MembersHost host;
    private Path peersFile;
    private Path history;
    private long historyBytes;
    private PeerTalk.Running talk;
    private Path state;
    private PolicyNode policy;

    public FrontNode(DeploymentFile deployment) {
        this(deployment, deployment.listen());
    }

    /** A node that listens elsewhere than its file says. */
    public FrontNode(DeploymentFile deployment, InetSocketAddress listen) {
        this(deployment, listen, UnaryOperator.identity());
    }

    /** A node whose module is wrapped, for tests of what a fault in it does. */
    FrontNode(DeploymentFile deployment, InetSocketAddress listen, UnaryOperator<Coordinator> wrapping) {
        this.deployment = deployment;
        this.listen = listen;
        this.wrapping = wrapping;
    }

    /** Before the start: keeps a record of the multigets taken. */
    public void record(MultigetRecord kept) {
        record = kept;
    }

    /** Before the start: servers come from further sources, too, as this file says. */
    public void members(MembersFile file) {
        members = file;
    }

    /** Before the start: it talks to the other front nodes as this file says, and writes what it knows of them, or null. */
    public void peers(Path file, Path kept, long keptBytes) {
        peerTalk().check(file);
        peersFile = file;
        history = kept;
        historyBytes = keptBytes;
    }

    /** How nodes talk to each other; an IllegalArgumentException where no jar on the class path knows how. */
    public static PeerTalk peerTalk() {
        return ServiceLoader.load(PeerTalk.class)
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException(
                                "--peers is given, but no jar on the class path talks to other nodes; bin/spartrail puts it there"));
    }

    /** Before the start: it goes by versions of policy, of which it keeps what it must not forget in this folder; needs peers. */
    public void policy(Path folder) {
        if (peersFile == null) {
            throw new IllegalArgumentException(
                    "--state is given without --peers: versions of policy need talk among nodes");
        }
        PolicyNode.policyTalk();
        state = folder;
    }

    /** Listens and serves from here on. */
    public void start() throws IOException {
        worker = Xnio.getInstance()
                .createWorker(OptionMap.builder()
                        .set(Options.WORKER_IO_THREADS, 1)
                        .set(Options.WORKER_TASK_CORE_THREADS, 0)
                        .set(Options.WORKER_TASK_MAX_THREADS, 1)
                        .set(Options.WORKER_NAME, "spartrail-io")
                        .set(Options.THREAD_DAEMON, true)
                        .getMap());
        io = worker.getIoThread();
        ByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER, 256, 0);
        clock = new NodeClock();
        EndpointList known = deployment.known();
        List<OpType> opTypes = deployment.opTypes();
        killedMs = killedMs(deployment);
        loop = new NodeLoop(
                wrapping.apply(deployment.coordinator(opTypes)),
                opTypes,
                clock,
                io,
                deployment.turnMs(),
                deployment.openCap(),
                deployment.mostSends(),
                deployment.nodes(),
                invariants);
        servers = new ShardPool(io, clock, bounds(deployment), loop, invariants);
        if (members != null) {
            host = new MembersHost(members, deployment.cells(), deployment.reach(), clock, known, loop);
        }
        watch = new HostWatch(io, buffers, deployment.discovery(), deployment.listAsked(), host == null ? loop : host);
        door = new ClientDoor(
                worker,
                buffers,
                listen,
                clock,
                opTypes.stream().map(op -> op.name).collect(Collectors.toSet()),
                deployment.shards(),
                Descriptors.forClients(
                        deployment.sockets(),
                        deployment.serversUsed(known.lines().size())),
                loop);
        loop.subset(deployment.subsetFilter());
        loop.tie(servers, watch, known);
        loop.record(record, deployment.version());
        if (host != null) {
            host.start(members);
        }
        io.execute(() -> {
            if (!deployment.listAsked()) {
                watch.start();
            }
            door.open();
        });
        thread = new Thread(loop, "spartrail-node");
        if (!deployment.listAsked()) {
            // Danger: the list that it was started with may be old, and what discovery's agent has counts as told
            // already.
            await(watch.heard(), FIRST_LIST_MS);
        }
        thread.start();
        if (state != null) {
            policy = new PolicyNode(deployment, clock, loop);
            talk = peerTalk()
                    .start(
                            peersFile,
                            history,
                            historyBytes,
                            view -> loop.fleet(view.word()),
                            List.of(policy.start(state)));
        }
        if (!ending) {
            new Rehearsal(clock).play(deployment, door.address());
        }
        if (policy != null) {
            // Danger: a node that comes back would decide by what held before it went.
            policy.awaitRuling();
        }
        // Danger: the I/O thread accepts and reads in the same round, and a round that had begun came before the word
        // that
        // the node is up: whoever asked right after the start was told 503.
        CountDownLatch up = new CountDownLatch(1);
        io.execute(() -> {
            if (!ending) {
                door.up();
                saidUp = true;
            }
            up.countDown();
        });
        await(up, Long.MAX_VALUE);
        if (peersFile != null && talk == null) {
            talk = peerTalk().start(peersFile, history, historyBytes, view -> loop.fleet(view.word()), PeerLane.NONE);
        }
        LOG.log(
                System.Logger.Level.INFO,
                "serving on " + door.address() + ", " + known.lines().size() + " servers known");
    }

    private static double killedMs(DeploymentFile stated) {
        return KILLED_AFTER_MS + Math.min(LONGEST_COUNTED_MS, stated.longestMs());
    }

    private static ShardPool.Bounds bounds(DeploymentFile stated) {
        return new ShardPool.Bounds(
                stated.callsPerConnection(),
                stated.connectTimeoutMs(),
                stated.keepAliveMs(),
                stated.cancelling(),
                stated.graceMs());
    }

    private static void await(CountDownLatch latch, long longestMs) throws IOException {
        try {
            latch.await(longestMs, TimeUnit.MILLISECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new InterruptedIOException("interrupted while it started");
        }
    }

    /** What must hold, and how often it did not. */
    public Invariants invariants() {
        return invariants;
    }

    /** How many lists and changes of lists have been taken, the one known at the start included. */
    public long listsTaken() {
        return loop.counters().lists;
    }

    /** How often it went on by other settings since its start. */
    public long switchesTaken() {
        return loop.counters().switches;
    }

    public InetSocketAddress address() {
        return door.address();
    }

    /**
     * Goes by this configuration from now on, as far as a node that serves can: discovery moves to the address
     * that it names, and the module goes on by its settings with all that it has learned of servers and op types.
     * What the shape of the deployment rests on waits for the next start, and so do the settings then: they are
     * those of one shape. Returns what waits; empty if all is taken.
     */
    public String reload(DeploymentFile changed) {
        if (talk != null) {
            // Before anything is taken: a peers' file that is wrong changes nothing.
            peerTalk().check(peersFile);
        }
        io.execute(() -> watch.move(changed.discovery()));
        String waiting = changed.waitingForAStart(deployment);
        if (waiting.isEmpty()) {
            // Danger: servers close unused connections, and this process is killed, by the times that now hold.
            io.execute(() -> servers.renew(bounds(changed)));
            killedMs = killedMs(changed);
        }
        if (waiting.isEmpty() && policy != null) {
            policy.own(changed);
        } else if (waiting.isEmpty()) {
            loop.renew(changed);
        }
        if (talk != null) {
            String further = talk.reload(peersFile);
            waiting += waiting.isEmpty() || further.isEmpty() ? further : "; " + further;
        }
        return waiting;
    }

    /** It will end: a start that is still on its way does not say that it is ready any more. */
    public void ending() {
        ending = true;
    }

    /**
     * Serves those who still come as long as it may, answers all that it has taken, then returns; the node is to
     * be closed next. Danger: where nodes are replaced one after another, one that leaves early leaves its clients
     * to one that is not back yet, and one that leaves them late to one that has just been asked to end itself.
     */
    public void drain() throws InterruptedException {
        if (talk != null) {
            talk.leave();
        }
        LOG.log(System.Logger.Level.INFO, "draining: " + loop.counters());
        CountDownLatch empty = new CountDownLatch(1);
        loop.answerBy(clock.nowMs() + killedMs - LAST_ANSWERED_MS);
        // Danger: one that was told to end while it started has less time than it reckons with; nobody was sent to it.
        double shutMs = saidUp ? Math.max(FRONT_HEARS_MS, killedMs - LAST_TAKEN_MS) : 0;
        io.execute(() -> {
            door.drain();
            io.executeAfter(
                    () -> {
                        door.shut();
                        awaitEmpty(empty);
                    },
                    Math.round(shutMs),
                    TimeUnit.MILLISECONDS);
        });
        boolean all = empty.await(Math.round(killedMs - LAST_ANSWERED_MS / 2 - CLOSING_MS / 2), TimeUnit.MILLISECONDS);
        LOG.log(
                all ? System.Logger.Level.INFO : System.Logger.Level.WARNING,
                all ? "drained" : "drained, with clients still connected");
    }

    private void awaitEmpty(CountDownLatch empty) {
        if (door.ended()) {
            empty.countDown();
        } else {
            io.executeAfter(() -> awaitEmpty(empty), 10, TimeUnit.MILLISECONDS);
        }
    }

    @Override
    public void close() throws InterruptedException {
        if (closed) {
            return;
        }
        closed = true;
        if (host != null) {
            host.close();
        }
        if (policy != null) {
            policy.close();
        }
        if (talk != null) {
            talk.close();
        }
        // The loop first: it would ask an I/O thread that is no more. Danger: what is read behind the loop's end would
        // never
        // be answered; from then on the door does it.
        io.execute(() -> {
            door.refuse();
            watch.close();
            loop.end();
        });
        thread.join();
        CountDownLatch answered = new CountDownLatch(1);
        io.execute(() -> awaitEmpty(answered));
        answered.await(Math.round(CLOSING_MS), TimeUnit.MILLISECONDS);
        CountDownLatch over = new CountDownLatch(1);
        io.execute(() -> {
            door.close();
            servers.close();
            over.countDown();
        });
        over.await();
        worker.shutdown();
        LOG.log(System.Logger.Level.INFO, "ended: " + loop.counters() + ", invariants broken " + invariants.broken());
    }
}

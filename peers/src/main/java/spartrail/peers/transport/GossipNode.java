package spartrail.peers.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.DatagramChannel;
import java.nio.channels.SelectionKey;
import java.nio.channels.Selector;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import spartrail.model.NodeClock;
import spartrail.peers.Incarnation;
import spartrail.peers.MembershipView;
import spartrail.peers.OutgoingMessage;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;
import spartrail.peers.PeerState;
import spartrail.peers.PeerTransport;
import spartrail.peers.SwimMembership;

/**
 * A node's socket for talk and the thread that owns it and its {@link SwimMembership}. Datagrams come in, are read or dropped and
 * counted, and go to the peers; what these want sent goes out. It decides nothing.
 */
final class GossipNode implements PeerTransport.Running, Runnable {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    /** Danger: a flood keeps the thread reading while its own rounds are overdue, and it takes itself for standing still. */
    private static final int MOST_AT_ONCE = 64;

    private static final int LONGEST = 65_536;
    private static final int RECEIVE_BYTES = 512 * 1024;
    /** Lines about views in a minute; a flood must not fill the log. */
    private static final int LINES_A_MINUTE = 120;

    private static final double MINUTE_MS = 60_000;

    private final PeersFile file;
    private final MembershipHistory history;
    private final Consumer<MembershipView> views;
    private final List<PeerChannel> lanes;
    private final NodeClock clock = new NodeClock();
    private final DatagramChannel channel;
    private final Selector selector;
    private final SwimMembership peers;
    private final Thread thread;
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> dropped = new TreeMap<>();
    private final ByteBuffer in = ByteBuffer.allocate(LONGEST);
    private MembershipView last;
    private PeerDescriptor told;
    private final AtomicLong sentBytes = new AtomicLong();
    private final AtomicLong sent = new AtomicLong();
    private final AtomicLong unsent = new AtomicLong();
    private long received;
    private int lines;
    private double linesFromMs;
    private volatile boolean ended;

    GossipNode(PeersFile file, MembershipHistory history, Consumer<MembershipView> views, List<PeerChannel> lanes)
            throws IOException {
        this.file = file;
        this.history = history;
        this.views = views;
        this.lanes = lanes;
        this.selector = Selector.open();
        this.channel = DatagramChannel.open();
        try {
            channel.configureBlocking(false);
            channel.setOption(java.net.StandardSocketOptions.SO_RCVBUF, RECEIVE_BYTES);
            channel.bind(file.listen);
            channel.register(selector, SelectionKey.OP_READ);
        } catch (IOException e) {
            channel.close();
            selector.close();
            throw new IOException("cannot listen on " + file.listen + " for other nodes: " + e.getMessage(), e);
        }
        RandomGenerator chance = RandomGenerator.of("L64X128MixRandom");
        String program = GossipNode.class.getPackage().getImplementationVersion();
        PeerDescriptor self = new PeerDescriptor(
                file.name,
                file.advertise,
                file.zone,
                file.weight,
                program == null ? "" : program,
                file.settings,
                new Incarnation(NodeClock.unixMs(), chance.nextInt()),
                0);
        this.peers = new SwimMembership(self, file.seeds, file.times, chance, clock.nowMs());
        lanes.forEach(lane -> lane.start(carrier(lane.number())));
        this.thread = new Thread(this, "spartrail-peers");
        thread.setDaemon(true);
        thread.start();
    }

    /** Called on other threads, too. */
    private PeerChannel.Context carrier(int channel) {
        return new PeerChannel.Context() {
            @Override
            public String nodeName() {
                return file.name;
            }

            @Override
            public String fleetName() {
                return file.fleet;
            }

            @Override
            public boolean isOperator(String address) {
                return file.operators.test(address);
            }

            @Override
            public Map<?, ?> section(String part) {
                return file.part(part);
            }

            @Override
            public void send(String address, byte[] bytes) {
                if (file.allowed.test(address) || file.operators.test(address)) {
                    write(PeerMessageCodec.encodeBytes(file.fleet, channel, bytes), PeersFile.socket(address));
                }
            }

            @Override
            public void recordEvent(String what, Map<String, ?> fields) {
                if (history != null) {
                    history.note(what, file.name, fields);
                }
            }
        };
    }

    private PeerChannel lane(int number) {
        for (PeerChannel lane : lanes) {
            if (lane.number() == number) {
                return lane;
            }
        }
        return null;
    }

    @Override
    public void run() {
        LOG.log(
                System.Logger.Level.INFO,
                "talks to other nodes as " + file.name + " on " + file.listen + ", " + file.seeds.size() + " seeds");
        while (!ended) {
            try {
                long waitMs = (long) Math.ceil(peers.nextMs() - clock.nowMs());
                if (waitMs <= 0) {
                    selector.selectNow();
                } else {
                    selector.select(Math.min(waitMs, 1000));
                }
                selector.selectedKeys().clear();
                // First what is due: that is how a standstill is seen, before what came meanwhile is read.
                peers.advance(clock.nowMs());
                for (int i = 0; i < MOST_AT_ONCE && read(); i++) {
                    // Until the socket is empty, or others want their turn.
                }
                for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
                    task.run();
                }
                carryOut();
            } catch (IOException e) {
                count("datagrams not read");
                LOG.log(System.Logger.Level.DEBUG, "reading a datagram failed", e);
            } catch (RuntimeException e) {
                LOG.log(System.Logger.Level.ERROR, "exception in the talk among nodes", e);
            }
        }
    }

    private boolean read() throws IOException {
        in.clear();
        SocketAddress from = channel.receive(in);
        if (from == null) {
            return false;
        }
        received++;
        InetSocketAddress sender = (InetSocketAddress) from;
        String source = sender.getAddress().getHostAddress() + ":" + sender.getPort();
        in.flip();
        if (!file.allowed.test(source) && !file.operators.test(source)) {
            count("datagrams from addresses not allowed");
            return true;
        }
        try {
            PeerMessageCodec.Frame frame =
                    PeerMessageCodec.decode(in.array(), in.limit(), file.fleet, PeerMessageCodec.MAX_FRAME_BYTES);
            if (frame.channel() == PeerMessageCodec.GOSSIP_CHANNEL && file.allowed.test(source)) {
                var message = frame.message();
                if (!file.allowed.test(message.sender().address())) {
                    count("datagrams from addresses not allowed");
                    return true;
                }
                peers.onMessage(message, clock.nowMs());
            } else if (frame.channel() == PeerMessageCodec.ADMIN_REQUEST_CHANNEL && file.operators.test(source)) {
                if (frame.values().get(3) instanceof String question) {
                    MembershipStatusReplies.to(
                            question, peers.view(clock.nowMs()), counts(), file.fleet, page -> write(page, sender));
                }
            } else if (lane(frame.channel()) != null) {
                lane(frame.channel()).onMessage(source, frame.bytes());
            } else {
                count("frames of unknown lanes");
            }
        } catch (PeerMessageCodec.MalformedDatagramException e) {
            count(e.getMessage());
        }
        return true;
    }

    private void write(byte[] bytes, InetSocketAddress to) {
        try {
            channel.send(ByteBuffer.wrap(bytes), to);
            sent.incrementAndGet();
            sentBytes.addAndGet(bytes.length);
        } catch (IOException e) {
            unsent.incrementAndGet();
        }
    }

    /** Sends what is to be sent and tells what has changed. */
    private void carryOut() {
        for (OutgoingMessage outgoing : peers.drainMessages()) {
            byte[] bytes = PeerMessageCodec.encode(file.fleet, outgoing.message());
            if (bytes.length > PeerMessageCodec.MAX_FRAME_BYTES || !file.allowed.test(outgoing.address())) {
                count(
                        bytes.length > PeerMessageCodec.MAX_FRAME_BYTES
                                ? "messages too large to send"
                                : "addresses not allowed");
                continue;
            }
            write(bytes, PeersFile.socket(outgoing.address()));
        }
        var events = peers.drainEvents();
        if (events.isEmpty() && last != null && clock.nowMs() - last.atMs() < file.times.probeIntervalMs()) {
            return;
        }
        MembershipView view = peers.view(clock.nowMs());
        if (history != null
                && (told == null || !told.incarnation().equals(peers.self().incarnation()))) {
            history.began(peers.self());
        }
        told = peers.self();
        for (PeerEvent event : events) {
            if (history != null) {
                history.changed(view, event);
            }
            log(event);
        }
        boolean changed = last == null
                || !events.isEmpty()
                || !last.healthProblem().equals(view.healthProblem())
                || last.presentCount() != view.presentCount()
                || last.minCount() != view.minCount()
                || last.maxCount() != view.maxCount()
                || last.state() != view.state();
        if (changed && history != null) {
            history.view(view);
        }
        if (last != null && !last.healthProblem().equals(view.healthProblem())) {
            LOG.log(
                    System.Logger.Level.INFO,
                    view.healthProblem().isEmpty()
                            ? "no longer in doubt of itself"
                            : "in doubt: " + view.healthProblem());
        }
        last = view;
        lanes.forEach(lane -> lane.onView(view));
        if (changed) {
            views.accept(view);
        }
    }

    private void log(PeerEvent event) {
        double nowMs = clock.nowMs();
        if (nowMs - linesFromMs > MINUTE_MS) {
            if (lines > LINES_A_MINUTE) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        (lines - LINES_A_MINUTE) + " lines about other nodes were left out");
            }
            lines = 0;
            linesFromMs = nowMs;
        }
        if (lines++ < LINES_A_MINUTE && event.newState() != event.previousState()) {
            LOG.log(
                    event.newState() == PeerState.GONE ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                    event.descriptor().name()
                            + " at " + event.descriptor().address() + " is " + event.newState() + " (was "
                            + event.previousState() + "), by "
                            + event.reporter() + ": "
                            + event.reason());
        }
    }

    private void count(String what) {
        dropped.merge(what, 1L, Long::sum);
    }

    private Map<String, Long> counts() {
        Map<String, Long> counts = new TreeMap<>(dropped);
        counts.put("datagrams received", received);
        counts.put("datagrams sent", sent.get());
        counts.put("datagrams not sent", unsent.get());
        counts.put("bytes sent", sentBytes.get());
        if (history != null) {
            counts.put("history lines left out", history.leftOut());
        }
        return counts;
    }

    @Override
    public String reload(Path path) {
        PeersFile changed = PeersFile.read(path);
        tasks.add(() -> {
            peers.setSeeds(changed.seeds);
            peers.setSettingsVersion(changed.settings);
        });
        selector.wakeup();
        String waiting = "";
        if (!changed.fleet.equals(file.fleet)
                || !changed.name.equals(file.name)
                || !changed.listen.equals(file.listen)
                || !changed.advertise.equals(file.advertise)
                || !changed.times.equals(file.times)) {
            waiting =
                    "fleet, name, addresses and times wait for the next start; seeds and the version of the settings are taken";
        }
        return waiting;
    }

    @Override
    public void leave() {
        CountDownLatch told = new CountDownLatch(1);
        tasks.add(() -> {
            peers.leave(clock.nowMs());
            carryOut();
            told.countDown();
        });
        selector.wakeup();
        try {
            if (!told.await(500, TimeUnit.MILLISECONDS)) {
                LOG.log(System.Logger.Level.WARNING, "other nodes were not told in time that this one ends");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() {
        ended = true;
        selector.wakeup();
        try {
            thread.join(2000);
            channel.close();
            selector.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "closing", e);
        }
        if (history != null) {
            history.close();
        }
    }
}

package spartrail.peers.transport;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import spartrail.model.NodeClock;
import spartrail.peers.Incarnation;
import spartrail.peers.MembershipView;
import spartrail.peers.OutgoingMessage;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerMessage;
import spartrail.peers.PeerTransport;
import spartrail.peers.SwimMembership;

/**
 * A node's gossip thread, which owns the socket and the {@link SwimMembership}. It decodes datagrams, or drops and
 * counts them, and dispatches them to the membership, to the replies for operators, or to a channel. It sends the
 * membership's messages and publishes changes of its view. All decisions about other nodes are made by the membership.
 */
final class GossipNode implements PeerTransport.Running, Runnable {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    /**
     * Maximum number of datagrams read before timers run again. Otherwise a flood would keep the thread reading while
     * its own rounds are overdue, which would look like a pause of the process.
     */
    private static final int MAX_DATAGRAMS_PER_ITERATION = 64;

    private static final long MAX_WAIT_MS = 1000;
    private static final long LEAVE_TIMEOUT_MS = 500;
    private static final long STOP_TIMEOUT_MS = 2000;

    private final PeersConfig config;
    private final MembershipHistory history;
    private final List<PeerChannel> channels;
    private final NodeClock clock = new NodeClock();
    private final GossipSocket socket;
    private final SwimMembership membership;
    private final ViewPublisher publisher;
    private final Thread thread;
    private final ConcurrentLinkedQueue<Runnable> tasks = new ConcurrentLinkedQueue<>();
    private final Map<String, Long> dropped = new TreeMap<>();
    private volatile boolean stopped;

    /** Opens the socket and starts the thread. Records no history if {@code history} is null. */
    GossipNode(
            PeersConfig config, MembershipHistory history, Consumer<MembershipView> views, List<PeerChannel> channels)
            throws IOException {
        this.config = config;
        this.history = history;
        this.channels = channels;
        this.socket = new GossipSocket(config.listen());
        RandomGenerator random = RandomGenerator.of("L64X128MixRandom");
        this.membership = new SwimMembership(
                describeSelf(config, random), config.seeds(), config.timings(), random, clock.nowMs());
        this.publisher = new ViewPublisher(history, channels, views);
        channels.forEach(channel -> channel.start(createContext(channel)));
        this.thread = new Thread(this, "spartrail-peers");
        thread.setDaemon(true);
        thread.start();
    }

    private static PeerDescriptor describeSelf(PeersConfig config, RandomGenerator random) {
        String programVersion = GossipNode.class.getPackage().getImplementationVersion();
        return new PeerDescriptor(
                config.name(),
                config.advertise(),
                config.zone(),
                config.weight(),
                programVersion == null ? "" : programVersion,
                config.settingsVersion(),
                new Incarnation(NodeClock.unixMs(), random.nextInt()),
                0);
    }

    private PeerChannel.Context createContext(PeerChannel channel) {
        return new SocketChannelContext(config, channel.number(), socket, history);
    }

    @Override
    public void run() {
        LOG.log(
                System.Logger.Level.INFO,
                "gossip started as node " + config.name() + " on " + config.listen() + "; number of seeds: "
                        + config.seeds().size());
        while (!stopped) {
            try {
                runOnce();
            } catch (IOException e) {
                count(DropCounter.READ_FAILED.label());
                LOG.log(System.Logger.Level.DEBUG, "cannot read from the gossip socket; continuing", e);
            } catch (RuntimeException e) {
                // Skips the rest of this iteration: due timers are lost, unread datagrams are read by the next
                // iteration.
                LOG.log(System.Logger.Level.ERROR, "unexpected exception on the gossip thread; continuing", e);
            }
        }
    }

    private void runOnce() throws IOException {
        long waitMs = (long) Math.ceil(membership.nextMs() - clock.nowMs());
        socket.await(Math.min(waitMs, MAX_WAIT_MS));
        // Timers run first, so that a pause of the process is detected before datagrams received during it are handled.
        membership.advance(clock.nowMs());
        int datagrams = 0;
        while (datagrams < MAX_DATAGRAMS_PER_ITERATION && receiveNext()) {
            datagrams++;
        }
        for (Runnable task = tasks.poll(); task != null; task = tasks.poll()) {
            task.run();
        }
        sendAndPublish();
    }

    // ---- Receiving ----

    /** Receives and handles one datagram; returns false if none is available. */
    private boolean receiveNext() throws IOException {
        InetSocketAddress sender = socket.receive();
        if (sender == null) {
            return false;
        }
        String source = SocketAddresses.format(sender);
        boolean isNode = config.allowed().test(source);
        boolean isOperator = config.operators().test(source);
        if (!isNode && !isOperator) {
            count(DropCounter.SENDER_NOT_ALLOWED.label());
            return true;
        }
        try {
            DatagramFrame frame = DatagramFrame.decode(
                    socket.receivedBytes(), socket.receivedLength(), config.fleet(), DatagramFrame.MAX_BYTES);
            if (frame.channel() == DatagramFrame.GOSSIP_CHANNEL && isNode) {
                onMessage(PeerMessageCodec.decode(frame));
            } else if (frame.channel() == DatagramFrame.ADMIN_REQUEST_CHANNEL && isOperator) {
                onAdminRequest(frame, sender);
            } else {
                onChannelFrame(frame, source);
            }
        } catch (MalformedDatagramException e) {
            count(e.problem().label());
        }
        return true;
    }

    private void onMessage(PeerMessage message) {
        if (config.allowed().test(message.sender().address())) {
            membership.onMessage(message, clock.nowMs());
        } else {
            count(DropCounter.SENDER_NOT_ALLOWED.label());
        }
    }

    private void onAdminRequest(DatagramFrame frame, InetSocketAddress sender) {
        if (frame.payload() instanceof String request) {
            MembershipStatusReplies.reply(request, membership.buildView(clock.nowMs()), counters())
                    .map(page -> DatagramFrame.encodeText(config.fleet(), DatagramFrame.ADMIN_RESPONSE_CHANNEL, page))
                    .ifPresent(bytes -> socket.send(bytes, sender));
        }
    }

    private void onChannelFrame(DatagramFrame frame, String source) throws MalformedDatagramException {
        for (PeerChannel channel : channels) {
            if (channel.number() == frame.channel()) {
                channel.onMessage(source, frame.payloadBytes());
                return;
            }
        }
        count(DropCounter.UNKNOWN_CHANNEL.label());
    }

    // ---- Sending ----

    private void sendAndPublish() {
        membership.drainMessages().forEach(this::send);
        double nowMs = clock.nowMs();
        var events = membership.drainEvents();
        if (!events.isEmpty()
                || publisher.isPublicationDue(nowMs, config.timings().probeIntervalMs())) {
            publisher.publish(membership.buildView(nowMs), membership.self(), events, nowMs);
        }
    }

    private void send(OutgoingMessage outgoing) {
        byte[] bytes = PeerMessageCodec.encode(config.fleet(), outgoing.message());
        if (bytes.length > DatagramFrame.MAX_BYTES) {
            count(DropCounter.MESSAGE_TOO_LARGE.label());
        } else if (!config.allowed().test(outgoing.address())) {
            count(DropCounter.RECIPIENT_NOT_ALLOWED.label());
        } else {
            socket.send(bytes, SocketAddresses.parse(outgoing.address()));
        }
    }

    private void count(String label) {
        dropped.merge(label, 1L, Long::sum);
    }

    private Map<String, Long> counters() {
        Map<String, Long> counters = new TreeMap<>(dropped);
        socket.addCountersTo(counters);
        if (history != null) {
            counters.put("history lines left out", history.droppedLines());
        }
        return counters;
    }

    // ---- From other threads ----

    @Override
    public String reload(Path path) {
        PeersConfig changed = PeersFile.read(path);
        execute(() -> {
            membership.setSeeds(changed.seeds());
            membership.setSettingsVersion(changed.settingsVersion());
        });
        if (config.isRestartNeededFor(changed)) {
            return "fleet, name, addresses and times of the peers file (its seeds and settings version are applied)";
        }
        return "";
    }

    @Override
    public void leave() {
        CountDownLatch sent = new CountDownLatch(1);
        execute(() -> {
            membership.leave(clock.nowMs());
            sendAndPublish();
            sent.countDown();
        });
        try {
            if (!sent.await(LEAVE_TIMEOUT_MS, TimeUnit.MILLISECONDS)) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        "cannot announce to other nodes within " + LEAVE_TIMEOUT_MS
                                + " ms that this node leaves; they will suspect it instead");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void execute(Runnable task) {
        tasks.add(task);
        socket.wakeUp();
    }

    @Override
    public void close() {
        stopped = true;
        socket.wakeUp();
        try {
            thread.join(STOP_TIMEOUT_MS);
            socket.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            LOG.log(System.Logger.Level.DEBUG, "cannot close the gossip socket", e);
        }
        if (history != null) {
            history.close();
        }
    }
}

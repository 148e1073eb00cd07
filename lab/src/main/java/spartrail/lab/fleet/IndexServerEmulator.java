package spartrail.lab.fleet;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ServerSocketChannel;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.net.TcpConnection;
import spartrail.lab.plan.Arrival;
import spartrail.model.TimerQueue;

/** An emulated index server: it implements the frame protocol on sockets; {@link ServerModel} decides on its load. */
final class IndexServerEmulator {
    /** Number of ways in which an answer can be corrupted. */
    private static final int CORRUPTIONS = 6;

    /** A part and the connection that its answer goes to. */
    private record PendingPart(ServerFrameCodec.ReceivedPart part, FrontNodeConnection connection) {}

    /** A connection from a front node. */
    private final class FrontNodeConnection extends TcpConnection {
        private final int node;
        private final ServerFrameCodec frames = new ServerFrameCodec();
        /** Frames are read only after the server has done the work of the handshake. */
        private boolean isHandshakeDone;

        FrontNodeConnection(int node) {
            super(IndexServerEmulator.this.loop);
            this.node = node;
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            frames.append(in);
            if (!silent) {
                read();
            }
        }

        private void read() {
            try {
                while (isOpen() && isHandshakeDone && frames.readNext()) {
                    switch (frames.type) {
                        case 'R' -> receiveParts(this, new ArrayList<>(frames.parts));
                        case 'A' -> model.cancel(frames.id);
                        case 'G' -> write(ServerFrameCodec.encode('G', "OK"));
                        default -> write(ServerFrameCodec.encode('T', model.loadReport()));
                    }
                }
            } catch (ServerFrameCodec.MalformedFrameException e) {
                write(ServerFrameCodec.encode('N', e.getMessage()));
                close();
                removeConnection(this);
            }
        }

        @Override
        protected void onClosed(String reason) {
            removeConnection(this);
        }
    }

    final FleetPlan.ServerSpec spec;
    private final SocketLoop loop;
    private final RandomGenerator random;
    private final FleetListener listener;
    private final Runnable onCrash;
    private final List<ServerSocketChannel> listening = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Set<FrontNodeConnection> connections = new HashSet<>();
    /** Pairs of time and load report, for delayed reports. */
    private final Deque<Object[]> reports = new ArrayDeque<>();

    private final Map<String, Long> counts = new HashMap<>();
    ServerModel model;
    private TimerQueue.Timer timer;
    private boolean down;
    private boolean silent;
    private boolean hanging;
    private double corruptShare;
    private double handshakeMs;

    IndexServerEmulator(
            SocketLoop loop,
            FleetPlan.ServerSpec spec,
            RandomGenerator random,
            FleetListener listener,
            Runnable onCrash) {
        this.loop = loop;
        this.spec = spec;
        this.random = random;
        this.listener = listener;
        this.onCrash = onCrash;
        this.handshakeMs = spec.profile().handshakeMs();
        // Started long ago, which makes it warm.
        this.model = new ServerModel(spec.profile(), random, loop.nowMs() - 1e9, loop.nowMs());
    }

    /** Opens one port per node; 0 picks free ports. */
    void listen(int nodes, int firstPort) throws IOException {
        for (int node = 0; node < nodes; node++) {
            int nodeOfPort = node;
            ServerSocketChannel channel = loop.listen(
                    new InetSocketAddress("127.0.0.1", firstPort == 0 ? 0 : firstPort + node), 1024, accepted -> {
                        FrontNodeConnection connection = new FrontNodeConnection(nodeOfPort);
                        try {
                            connection.adopt(accepted);
                        } catch (IOException e) {
                            connection.close();
                            return;
                        }
                        openConnection(connection);
                    });
            listening.add(channel);
            ports.add(channel.socket().getLocalPort());
        }
    }

    int port(int node) {
        return ports.get(node);
    }

    private void openConnection(FrontNodeConnection connection) {
        if (down || connections.size() >= spec.profile().connections()) {
            connection.reset();
            return;
        }
        connections.add(connection);
        count("connections");
        if (handshakeMs > 0) {
            // The connection is read only after the server has done the work of the handshake.
            model.advance(loop.nowMs(), new ArrayList<>());
            advance();
            model.addBackgroundWork(handshakeMs, loop.nowMs());
            loop.schedule(loop.nowMs() + handshakeMs / Math.max(0.01, model.warmth()), () -> {
                connection.isHandshakeDone = true;
                if (!silent) {
                    connection.read();
                }
            });
            checkCrash();
        } else {
            connection.isHandshakeDone = true;
        }
    }

    private void removeConnection(FrontNodeConnection connection) {
        connections.remove(connection);
        // Its parts keep running, as in a server that notices the lost connection late; their answers are dropped.
    }

    private void receiveParts(FrontNodeConnection connection, List<ServerFrameCodec.ReceivedPart> parts) {
        double nowMs = loop.nowMs();
        advanceAndSchedule();
        boolean first = true;
        for (ServerFrameCodec.ReceivedPart part : parts) {
            count("parts");
            listener.onPartReceived(connection.node, spec.id(), part.id(), nowMs);
            double workMs = model.drawWorkMs(statedWorkMs(part.text()))
                    + (first ? spec.profile().callMs() : 0);
            first = false;
            ServerModel.Job job =
                    new ServerModel.Job(part.id(), new PendingPart(part, connection), workMs, nowMs + part.waitMs());
            model.accept(job, nowMs);
            if (model.hasCrashed()) {
                checkCrash();
                return;
            }
            if (job.end != null) {
                answerPart(job);
            }
        }
        scheduleNext();
    }

    /** The work that a part's text states, in milliseconds: the text begins with w and a number of microseconds. */
    private static double statedWorkMs(byte[] text) {
        long micros = 0;
        if (text.length < 3 || text[0] != 'w') {
            return 0;
        }
        for (int i = 1; i < text.length && text[i] != '.'; i++) {
            if (text[i] < '0' || text[i] > '9' || i > 12) {
                return 0;
            }
            micros = 10 * micros + text[i] - '0';
        }
        return micros / 1000.0;
    }

    private void advanceAndSchedule() {
        advance();
        scheduleNext();
    }

    private void advance() {
        List<ServerModel.Job> ended = new ArrayList<>();
        model.advance(loop.nowMs(), ended);
        ended.forEach(this::answerPart);
    }

    private void scheduleNext() {
        loop.cancel(timer);
        timer = null;
        double nextMs = model.nextEventMs();
        if (!down && nextMs < Double.MAX_VALUE) {
            timer = loop.schedule(nextMs, this::advanceAndSchedule);
        }
    }

    private void answerPart(ServerModel.Job job) {
        PendingPart pending = (PendingPart) job.carrier;
        if (hanging) {
            return;
        }
        listener.onPartEnded(pending.connection().node, spec.id(), job.id, job.end, loop.nowMs());
        count(job.end.name());
        if (silent || !pending.connection().isOpen()) {
            return;
        }
        if (corruptShare > 0 && random.nextDouble() < corruptShare) {
            count("spoilt");
            sendCorrupted(pending);
            return;
        }
        String value = job.end == ServerModel.End.OK
                ? Arrival.value(job.id, pending.part().shard(), pending.part().text())
                : "";
        pending.connection()
                .write(ServerFrameCodec.encode(
                        'Y',
                        job.id + " " + job.end + " " + random.nextInt(1 << 30) + " " + delayedReport() + "\n" + value));
    }

    private void sendCorrupted(PendingPart pending) {
        FrontNodeConnection connection = pending.connection();
        switch (random.nextInt(CORRUPTIONS)) {
            case 0 -> connection.write(ByteBuffer.wrap(randomBytes(40)));
            case 1 -> connection.write(ByteBuffer.allocate(5)
                    .putInt(Integer.MAX_VALUE)
                    .put((byte) 'Y')
                    .flip());
            case 2 -> connection.write(ServerFrameCodec.encode('Q', "what is this"));
            case 3 -> connection.write(ServerFrameCodec.encode('Y', "no line"));
            case 4 -> connection.write(ServerFrameCodec.encode('Y', "0000.77 OK 1 -\n" + "x"));
            default -> connection.write(
                    ServerFrameCodec.encode('Y', pending.part().id() + " PERHAPS 1 -\n"));
        }
    }

    private byte[] randomBytes(int size) {
        byte[] bytes = new byte[size];
        random.nextBytes(bytes);
        return bytes;
    }

    /** The oldest of the last 1000 load reports that is at most {@code reportLateMs} old. */
    private String delayedReport() {
        double delayMs = spec.profile().reportLateMs();
        String current = model.loadReport();
        if (delayMs <= 0) {
            return current;
        }
        double nowMs = loop.nowMs();
        reports.add(new Object[] {nowMs, current});
        while (reports.size() > 1 && (double) reports.peek()[0] < nowMs - delayMs || reports.size() > 1000) {
            reports.poll();
        }
        return (String) reports.peek()[1];
    }

    private void checkCrash() {
        if (model.hasCrashed() && !down) {
            listener.onServerCrashed(spec.id(), model.worstLoad(), loop.nowMs());
            count("falls");
            kill();
            onCrash.run();
        }
    }

    private void count(String key) {
        counts.merge(key, 1L, Long::sum);
    }

    Map<String, Long> counts() {
        return counts;
    }

    // ---- Faults ----

    /** Ends the emulated process: open connections are reset, and so are new ones. */
    void kill() {
        down = true;
        connections.forEach(TcpConnection::reset);
        connections.clear();
        loop.cancel(timer);
        timer = null;
    }

    void start() {
        down = false;
        model.start(loop.nowMs());
        scheduleNext();
    }

    boolean isDown() {
        return down;
    }

    void pause(double lastsMs) {
        advanceAndSchedule();
        model.pause(loop.nowMs(), lastsMs);
        scheduleNext();
    }

    void setSlowdown(double factor) {
        advanceAndSchedule();
        model.setSlowdown(factor);
        scheduleNext();
    }

    void setNeighbourShare(double share) {
        advanceAndSchedule();
        model.setNeighbourShare(share);
        scheduleNext();
    }

    void setErrorShare(double share) {
        model.setErrorShare(share);
    }

    void setCorruptShare(double share) {
        corruptShare = share;
    }

    /** A hanging server does its work but never answers. */
    void setHanging(boolean isHanging) {
        hanging = isHanging;
    }

    /** A silent server acts as a machine that has vanished: connections stay open, nothing is read or written. */
    void setSilent(boolean isSilent) {
        silent = isSilent;
        if (!silent) {
            List.copyOf(connections).forEach(FrontNodeConnection::read);
        }
    }

    void setHandshakeMs(double workMs) {
        handshakeMs = workMs;
    }

    void close() {
        kill();
        for (ServerSocketChannel channel : listening) {
            try {
                channel.close();
            } catch (IOException e) {
                // The channel is closed even if close() fails.
            }
        }
    }
}

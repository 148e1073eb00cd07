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

/** One stand-in server on sockets: frames in, frames out; what it does with its load is its model's. */
final class IndexServerEmulator {
    /** Ways in which an answer can be spoilt. */
    private static final int SPOILS = 6;

    private record Sent(ServerFrameCodec.Sent part, Wire wire) {}

    /** A connection from a front node. */
    private final class Wire extends TcpConnection {
        private final int node;
        private final ServerFrameCodec frames = new ServerFrameCodec();
        /** Its handshake is paid; until then nothing of it is read. */
        private boolean open;

        Wire(int node) {
            super(IndexServerEmulator.this.loop);
            this.node = node;
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            frames.take(in);
            if (!silent) {
                read();
            }
        }

        private void read() {
            try {
                while (isOpen() && open && frames.next()) {
                    switch (frames.letter) {
                        case 'R' -> call(this, new ArrayList<>(frames.parts));
                        case 'A' -> model.giveUp(frames.id);
                        case 'G' -> write(ServerFrameCodec.frame('G', "OK"));
                        default -> write(ServerFrameCodec.frame('T', model.report()));
                    }
                }
            } catch (ServerFrameCodec.Unusable e) {
                write(ServerFrameCodec.frame('N', e.getMessage()));
                close();
                gone(this);
            }
        }

        @Override
        protected void onClosed(String why) {
            gone(this);
        }
    }

    final FleetPlan.ServerSpec line;
    private final SocketLoop loop;
    private final RandomGenerator chance;
    private final FleetListener listener;
    private final Runnable onFall;
    private final List<ServerSocketChannel> listening = new ArrayList<>();
    private final List<Integer> ports = new ArrayList<>();
    private final Set<Wire> wires = new HashSet<>();
    private final Deque<Object[]> reports = new ArrayDeque<>();
    private final Map<String, Long> counts = new HashMap<>();
    ServerModel model;
    private TimerQueue.Timer due;
    private boolean down;
    private boolean silent;
    private boolean hanging;
    private double spoilShare;
    private double handshakeMs;

    IndexServerEmulator(
            SocketLoop loop,
            FleetPlan.ServerSpec line,
            RandomGenerator chance,
            FleetListener listener,
            Runnable onFall) {
        this.loop = loop;
        this.line = line;
        this.chance = chance;
        this.listener = listener;
        this.onFall = onFall;
        this.handshakeMs = line.profile().handshakeMs();
        // Long up: warm.
        this.model = new ServerModel(line.profile(), chance, loop.nowMs() - 1e9, loop.nowMs());
    }

    /** Opens a port for each node; 0 takes a free one. */
    void listen(int nodes, int firstPort) throws IOException {
        for (int node = 0; node < nodes; node++) {
            int from = node;
            ServerSocketChannel channel = loop.listen(
                    new InetSocketAddress("127.0.0.1", firstPort == 0 ? 0 : firstPort + node), 1024, accepted -> {
                        Wire wire = new Wire(from);
                        try {
                            wire.adopt(accepted);
                        } catch (IOException e) {
                            wire.close();
                            return;
                        }
                        opened(wire);
                    });
            listening.add(channel);
            ports.add(channel.socket().getLocalPort());
        }
    }

    int port(int node) {
        return ports.get(node);
    }

    private void opened(Wire wire) {
        if (down || wires.size() >= line.profile().connections()) {
            wire.reset();
            return;
        }
        wires.add(wire);
        count("connections");
        if (handshakeMs > 0) {
            // It is not read before the server has worked off what it costs.
            model.advance(loop.nowMs(), new ArrayList<>());
            settle();
            model.burden(handshakeMs, loop.nowMs());
            loop.schedule(loop.nowMs() + handshakeMs / Math.max(0.01, model.warmth()), () -> {
                wire.open = true;
                if (!silent) {
                    wire.read();
                }
            });
            checkFall();
        } else {
            wire.open = true;
        }
    }

    private void gone(Wire wire) {
        wires.remove(wire);
        // What runs for it runs on, as in a server that notices late; its answer has nobody to go to.
    }

    private void call(Wire wire, List<ServerFrameCodec.Sent> parts) {
        double nowMs = loop.nowMs();
        turn();
        boolean first = true;
        for (ServerFrameCodec.Sent part : parts) {
            count("parts");
            listener.onPartReceived(wire.node, line.id(), part.id(), nowMs);
            double workMs =
                    model.draw(told(part.text())) + (first ? line.profile().callMs() : 0);
            first = false;
            ServerModel.Job job = new ServerModel.Job(part.id(), new Sent(part, wire), workMs, nowMs + part.waitMs());
            model.take(job, nowMs);
            if (model.fallen()) {
                checkFall();
                return;
            }
            if (job.end != null) {
                answer(job);
            }
        }
        plan();
    }

    /** What the text says that a part costs: it begins with w and a number of microseconds. */
    private static double told(byte[] text) {
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

    private void turn() {
        settle();
        plan();
    }

    private void settle() {
        List<ServerModel.Job> ended = new ArrayList<>();
        model.advance(loop.nowMs(), ended);
        ended.forEach(this::answer);
    }

    private void plan() {
        loop.cancel(due);
        due = null;
        double nextMs = model.nextMs();
        if (!down && nextMs < Double.MAX_VALUE) {
            due = loop.schedule(nextMs, this::turn);
        }
    }

    private void answer(ServerModel.Job job) {
        Sent sent = (Sent) job.carrier;
        if (hanging) {
            return;
        }
        listener.onPartEnded(sent.wire().node, line.id(), job.id, job.end, loop.nowMs());
        count(job.end.name());
        if (silent || !sent.wire().isOpen()) {
            return;
        }
        if (spoilShare > 0 && chance.nextDouble() < spoilShare) {
            count("spoilt");
            spoil(sent);
            return;
        }
        String value = job.end == ServerModel.End.OK
                ? Arrival.value(job.id, sent.part().shard(), sent.part().text())
                : "";
        sent.wire()
                .write(ServerFrameCodec.frame(
                        'Y', job.id + " " + job.end + " " + chance.nextInt(1 << 30) + " " + report() + "\n" + value));
    }

    private void spoil(Sent sent) {
        Wire wire = sent.wire();
        switch (chance.nextInt(SPOILS)) {
            case 0 -> wire.write(ByteBuffer.wrap(noise(40)));
            case 1 -> wire.write(ByteBuffer.allocate(5)
                    .putInt(Integer.MAX_VALUE)
                    .put((byte) 'Y')
                    .flip());
            case 2 -> wire.write(ServerFrameCodec.frame('Q', "what is this"));
            case 3 -> wire.write(ServerFrameCodec.frame('Y', "no line"));
            case 4 -> wire.write(ServerFrameCodec.frame('Y', "0000.77 OK 1 -\n" + "x"));
            default -> wire.write(ServerFrameCodec.frame('Y', sent.part().id() + " PERHAPS 1 -\n"));
        }
    }

    private byte[] noise(int size) {
        byte[] bytes = new byte[size];
        chance.nextBytes(bytes);
        return bytes;
    }

    private String report() {
        double lateMs = line.profile().reportLateMs();
        String now = model.report();
        if (lateMs <= 0) {
            return now;
        }
        double nowMs = loop.nowMs();
        reports.add(new Object[] {nowMs, now});
        while (reports.size() > 1 && (double) reports.peek()[0] < nowMs - lateMs || reports.size() > 1000) {
            reports.poll();
        }
        return (String) reports.peek()[1];
    }

    private void checkFall() {
        if (model.fallen() && !down) {
            listener.onServerCrashed(line.id(), model.worstLoad(), loop.nowMs());
            count("falls");
            kill();
            onFall.run();
        }
    }

    private void count(String what) {
        counts.merge(what, 1L, Long::sum);
    }

    Map<String, Long> counts() {
        return counts;
    }

    // ---- What is done to it ----

    /** Its process is no more: connections are reset, new ones too. */
    void kill() {
        down = true;
        wires.forEach(TcpConnection::reset);
        wires.clear();
        loop.cancel(due);
        due = null;
    }

    void start() {
        down = false;
        model.start(loop.nowMs());
        plan();
    }

    boolean down() {
        return down;
    }

    void pause(double lastsMs) {
        turn();
        model.pause(loop.nowMs(), lastsMs);
        plan();
    }

    void slow(double by) {
        turn();
        model.slow(by);
        plan();
    }

    void neighbour(double share) {
        turn();
        model.neighbour(share);
        plan();
    }

    void errors(double share) {
        model.errors(share);
    }

    void spoils(double share) {
        spoilShare = share;
    }

    /** Works, but never answers. */
    void hang(boolean hangs) {
        hanging = hangs;
    }

    /** As a machine that has vanished: connections stay, nothing is read or written. */
    void silent(boolean isSilent) {
        silent = isSilent;
        if (!silent) {
            List.copyOf(wires).forEach(Wire::read);
        }
    }

    void handshake(double workMs) {
        handshakeMs = workMs;
    }

    void close() {
        kill();
        for (ServerSocketChannel channel : listening) {
            try {
                channel.close();
            } catch (IOException e) {
                // It is closed all the same.
            }
        }
    }
}

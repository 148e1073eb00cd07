package spartrail.policy.replication;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.SocketTimeoutException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.Arrays;
import java.util.List;
import java.util.UUID;
import java.util.function.Function;
import spartrail.policy.LogOperation;

/**
 * An operator's side: asks a running node, and gives orders to whoever leads. Frames are made and read by who knows their form.
 */
public final class AdminClient implements AutoCloseable {
    private static final int ANSWER_MS = 500;
    private static final int TRIES = 40;
    private static final int TRIES_A_QUESTION = 4;
    private static final int TRIES_A_CHECK = 8;

    /** How bytes of the lane become a datagram, and back; null for one of something else. */
    public interface FrameCodec {
        byte[] encode(byte[] piece);

        byte[] decode(byte[] datagram, int length);
    }

    private final FrameCodec frames;
    private final DatagramSocket socket;
    private final DatagramReassembler pieces;

    /** Speaks from this machine; the node's file has to name it among its operators. */
    public AdminClient(FrameCodec frames, boolean loopback) throws IOException {
        this.frames = frames;
        this.socket = loopback
                ? new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
                : new DatagramSocket();
        this.pieces = new DatagramReassembler(1100, new SecureRandom().nextInt());
        socket.setSoTimeout(ANSWER_MS);
    }

    /** What a node knows, as JSON; an IOException where it does not answer. */
    public String fetchStatus(String address) throws IOException {
        return question(address, "show", TRIES_A_QUESTION);
    }

    /** The same, asked once. */
    public String fetchStatusOnce(String address) throws IOException {
        return question(address, "show", 1);
    }

    /** What these settings would change for a node, a line each; {@code !} and why it cannot go by them. */
    public String dryRun(String address, String settings) throws IOException {
        return question(address, PolicyMessageCodec.CHECK + settings, TRIES_A_CHECK);
    }

    /** In drills: the node's process is gone when it next gets to this point. */
    public boolean armCrashPoint(String address, String point) throws IOException {
        return question(address, point, TRIES_A_QUESTION).equals("armed");
    }

    private String question(String address, String what, int tries) throws IOException {
        String token = UUID.randomUUID().toString();
        for (int i = 0; i < tries; i++) {
            List<?> reply =
                    asked(address, List.of(PolicyMessageCodec.QUESTION, token, what), token, PolicyMessageCodec.REPLY);
            if (reply != null) {
                return (String) reply.get(2);
            }
        }
        throw new IOException(address + " does not answer");
    }

    /**
     * Gives an order, and follows it to whoever leads; a number, or {@code !} and what is wrong. {@code where} is another way to an
     * address that a node names, as a rig has it. The same order may arrive twice and counts once.
     */
    public String submit(
            String address,
            LogOperation.Kind kind,
            long number,
            String text,
            String who,
            Function<String, String> where)
            throws IOException {
        String token = UUID.randomUUID().toString();
        String to = address;
        for (int i = 0; i < TRIES; i++) {
            List<?> reply = asked(
                    to,
                    List.of(PolicyMessageCodec.ORDER, token, kind.name(), number, text, who),
                    token,
                    PolicyMessageCodec.DONE);
            if (reply != null && !((String) reply.get(2)).isEmpty()) {
                return (String) reply.get(2);
            }
            String leader = reply == null ? "" : (String) reply.get(3);
            to = leader.isEmpty() ? address : where.apply(leader);
            if (reply != null && (i > 0 || leader.isEmpty())) {
                // Danger: two nodes that name each other, or one that is lost, would use up all tries before another
                // one leads.
                pause();
            }
        }
        throw new IOException("nobody who leads answers, asked by way of " + address);
    }

    private void pause() throws IOException {
        try {
            Thread.sleep(ANSWER_MS / 2);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    private List<?> asked(String address, List<?> question, String token, int kind) throws IOException {
        int colon = address.lastIndexOf(':');
        InetSocketAddress to =
                new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
        for (byte[] piece : pieces.split(PolicyMessageCodec.bytes(question))) {
            byte[] frame = frames.encode(piece);
            socket.send(new DatagramPacket(frame, frame.length, to));
        }
        long untilNs = System.nanoTime() + ANSWER_MS * 1_000_000L;
        byte[] buffer = new byte[65_536];
        while (System.nanoTime() < untilNs) {
            DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
            try {
                socket.receive(packet);
            } catch (SocketTimeoutException e) {
                return null;
            }
            byte[] piece = frames.decode(Arrays.copyOf(buffer, packet.getLength()), packet.getLength());
            byte[] whole =
                    piece == null ? null : pieces.add(packet.getSocketAddress().toString(), piece);
            List<?> reply = whole == null ? List.of(-1) : PolicyMessageCodec.plain(whole);
            if (PolicyMessageCodec.intAt(reply, 0) == kind && token.equals(reply.get(1))) {
                return reply;
            }
        }
        return null;
    }

    /** Makes the log of a deciding node of a new set. */
    public static void bootstrap(Path folder, String fleet, String node, List<String> deciders) throws IOException {
        RaftLogStore.bootstrap(folder, fleet, node, deciders);
    }

    @Override
    public void close() {
        socket.close();
    }
}

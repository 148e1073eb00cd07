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
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import java.util.function.Predicate;
import spartrail.model.MalformedMessageException;
import spartrail.policy.LogOperation;

/**
 * The operator's side: queries a running node, and sends commands to the leader. Blocks its caller; one socket, one thread. A
 * datagram that is lost is sent again with the same token, and counts once.
 */
public final class AdminClient implements AutoCloseable {
    private static final int RESPONSE_TIMEOUT_MS = 500;
    private static final int RETRY_BACKOFF_MS = RESPONSE_TIMEOUT_MS / 2;
    private static final int MAX_COMMAND_ATTEMPTS = 40;
    private static final int MAX_QUERY_ATTEMPTS = 4;

    /** A check takes as long as a rehearsal on the node. */
    private static final int MAX_CHECK_ATTEMPTS = 8;

    private static final int MAX_PIECE_BYTES = 1100;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    /** How pieces of messages become datagrams, and back; the fleet's transport knows. */
    public interface FrameCodec {
        /** The datagram for a piece. */
        byte[] encode(byte[] piece);

        /** The piece of a datagram, or null for one of something else. */
        byte[] decode(byte[] datagram, int length);
    }

    private final FrameCodec frames;
    private final DatagramSocket socket;
    private final DatagramSplitter splitter;
    private final DatagramReassembler reassembler = new DatagramReassembler();

    /** Speaks from this machine, which the node's peers file has to name among its operators. */
    public AdminClient(FrameCodec frames, boolean loopback) throws IOException {
        this.frames = frames;
        this.socket = loopback
                ? new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
                : new DatagramSocket();
        this.splitter = new DatagramSplitter(MAX_PIECE_BYTES, new SecureRandom().nextInt());
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
    }

    /** A node's status as JSON; an IOException where it does not answer. */
    public String fetchStatus(String address) throws IOException {
        return query(address, AdminRequestHandler.SHOW_QUERY, MAX_QUERY_ATTEMPTS);
    }

    /** A node's status as JSON, queried once. */
    public String fetchStatusOnce(String address) throws IOException {
        return query(address, AdminRequestHandler.SHOW_QUERY, 1);
    }

    /** What these settings would change for a node, a line each; {@code !} and why it cannot apply them. */
    public String dryRun(String address, String settings) throws IOException {
        return query(address, AdminRequestHandler.CHECK_QUERY_PREFIX + settings, MAX_CHECK_ATTEMPTS);
    }

    /** In drills: the node's process ends when it next gets to this {@link CrashPoint}. */
    public boolean armCrashPoint(String address, String point) throws IOException {
        return query(address, point, MAX_QUERY_ATTEMPTS).equals(AdminRequestHandler.ARMED_REPLY);
    }

    private String query(String address, String query, int maxAttempts) throws IOException {
        String token = UUID.randomUUID().toString();
        for (int attempt = 0; attempt < maxAttempts; attempt++) {
            PolicyMessage reply = exchange(
                    address,
                    new PolicyMessage.AdminQuery(token, query),
                    message -> message instanceof PolicyMessage.AdminReply found
                            && found.token().equals(token));
            if (reply != null) {
                return ((PolicyMessage.AdminReply) reply).text();
            }
        }
        throw new IOException(address + " does not answer");
    }

    /**
     * Sends an operation by way of a node and follows it to the leader.
     *
     * @param toReachable the address at which this machine reaches a node that another node names
     * @return the proposal's number, or {@code !} and what is wrong
     */
    public String submit(
            String address,
            LogOperation.Kind kind,
            long proposalNumber,
            String text,
            String issuer,
            Function<String, String> toReachable)
            throws IOException {
        String token = UUID.randomUUID().toString();
        LogOperation operation = new LogOperation(kind, proposalNumber, text, issuer, token);
        String target = address;
        for (int attempt = 0; attempt < MAX_COMMAND_ATTEMPTS; attempt++) {
            PolicyMessage.AdminResult result = sendCommand(target, operation);
            if (result != null && !result.outcome().isEmpty()) {
                return result.outcome();
            }
            String leader = result == null ? "" : result.leaderAddress();
            target = leader.isEmpty() ? address : toReachable.apply(leader);
            if (result != null && (attempt > 0 || leader.isEmpty())) {
                // Two nodes that name each other, or one that is lost, would use up all attempts before another one
                // leads.
                backOff();
            }
        }
        throw new IOException("nobody who leads answers, asked by way of " + address);
    }

    private PolicyMessage.AdminResult sendCommand(String address, LogOperation operation) throws IOException {
        return (PolicyMessage.AdminResult) exchange(
                address,
                new PolicyMessage.AdminCommand(operation),
                message -> message instanceof PolicyMessage.AdminResult found
                        && found.token().equals(operation.token()));
    }

    private static void backOff() throws IOException {
        try {
            Thread.sleep(RETRY_BACKOFF_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted", e);
        }
    }

    /** The first message that is expected, or null where none came in time. */
    private PolicyMessage exchange(String address, PolicyMessage request, Predicate<PolicyMessage> isExpected)
            throws IOException {
        InetSocketAddress receiver = socketAddress(address);
        for (byte[] piece : splitter.split(PolicyMessageCodec.encode(request))) {
            byte[] frame = frames.encode(piece);
            socket.send(new DatagramPacket(frame, frame.length, receiver));
        }
        long deadlineNs = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(RESPONSE_TIMEOUT_MS);
        while (System.nanoTime() < deadlineNs) {
            DatagramPacket packet = new DatagramPacket(new byte[RECEIVE_BUFFER_BYTES], RECEIVE_BUFFER_BYTES);
            try {
                socket.receive(packet);
            } catch (SocketTimeoutException e) {
                return null;
            }
            PolicyMessage message = messageCompletedBy(packet);
            if (isExpected.test(message)) {
                return message;
            }
        }
        return null;
    }

    private PolicyMessage messageCompletedBy(DatagramPacket packet) throws IOException {
        byte[] piece = frames.decode(Arrays.copyOf(packet.getData(), packet.getLength()), packet.getLength());
        if (piece == null) {
            return null;
        }
        byte[] message = reassembler.add(packet.getSocketAddress().toString(), piece);
        if (message == null) {
            return null;
        }
        try {
            return PolicyMessageCodec.decode(message);
        } catch (MalformedMessageException e) {
            throw new IOException(packet.getSocketAddress() + ": sent a malformed message: " + e.getMessage(), e);
        }
    }

    private static InetSocketAddress socketAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Makes the log of one voter of a new group. */
    public static void bootstrap(Path folder, String fleet, String node, List<String> voters) throws IOException {
        RaftLogStore.bootstrap(folder, fleet, node, voters);
    }

    @Override
    public void close() {
        socket.close();
    }
}

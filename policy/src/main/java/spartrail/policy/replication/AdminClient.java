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
 * The operators' client: sends queries to a running node, and commands to the leader. Calls block; an instance has one
 * socket and is used by one thread. A request without a response is sent again. Its token stays the same, so that the
 * request takes effect once.
 */
public final class AdminClient implements AutoCloseable {
    private static final int RESPONSE_TIMEOUT_MS = 500;
    private static final int RETRY_BACKOFF_MS = RESPONSE_TIMEOUT_MS / 2;
    private static final int MAX_COMMAND_ATTEMPTS = 40;
    private static final int MAX_QUERY_ATTEMPTS = 4;

    /** A dry run on the node takes longer than other queries. */
    private static final int MAX_CHECK_ATTEMPTS = 8;

    private static final int MAX_PIECE_BYTES = 1100;
    private static final int RECEIVE_BUFFER_BYTES = 65_536;

    /** Encodes pieces of messages as datagrams and decodes them, in the format of the fleet's transport. */
    public interface FrameCodec {
        /** The datagram that holds a piece. */
        byte[] encode(byte[] piece);

        /** The piece that a datagram holds, or null for a datagram of another kind. */
        byte[] decode(byte[] datagram, int length);
    }

    private final FrameCodec frames;
    private final DatagramSocket socket;
    private final DatagramSplitter splitter;
    private final DatagramReassembler reassembler = new DatagramReassembler();

    /** Opens a socket on this machine, which the node's peers file has to list among the operators. */
    public AdminClient(FrameCodec frames, boolean loopback) throws IOException {
        this.frames = frames;
        this.socket = loopback
                ? new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0))
                : new DatagramSocket();
        this.splitter = new DatagramSplitter(MAX_PIECE_BYTES, new SecureRandom().nextInt());
        socket.setSoTimeout(RESPONSE_TIMEOUT_MS);
    }

    /** A node's status as JSON; throws IOException if the node does not answer. */
    public String fetchStatus(String address) throws IOException {
        return query(address, AdminRequestHandler.SHOW_QUERY, MAX_QUERY_ATTEMPTS);
    }

    /** A node's status as JSON, queried once without retries. */
    public String fetchStatusOnce(String address) throws IOException {
        return query(address, AdminRequestHandler.SHOW_QUERY, 1);
    }

    /**
     * The fields that these settings would change at a node, a line each, or {@code !} and why it cannot apply them.
     */
    public String dryRun(String address, String settings) throws IOException {
        return query(address, AdminRequestHandler.CHECK_QUERY_PREFIX + settings, MAX_CHECK_ATTEMPTS);
    }

    /** For drills: makes the node's process halt when it next reaches this {@link CrashPoint}; false if it cannot. */
    public boolean armCrashPoint(String address, String point) throws IOException {
        return query(address, point, MAX_QUERY_ATTEMPTS).equals(AdminRequestHandler.ARMED_REPLY);
    }

    private String query(String address, String query, int maxAttempts) throws IOException {
        String token = UUID.randomUUID().toString();
        for (int attempt = 0; attempt < maxAttempts; attempt++) {
            PolicyMessage reply = exchange(
                    address,
                    new PolicyMessage.AdminQuery(token, query),
                    message -> message instanceof PolicyMessage.AdminReply received
                            && received.token().equals(token));
            if (reply != null) {
                return ((PolicyMessage.AdminReply) reply).text();
            }
        }
        throw new IOException(
                address + ": no response to " + maxAttempts + " attempts within " + RESPONSE_TIMEOUT_MS + " ms each");
    }

    /**
     * Sends an operation to a node, and to the leader that it names.
     *
     * @param toReachable maps the address that a node gives for the leader to an address that this machine can reach
     * @return the proposal's number, or {@code !} and an error
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
                // Without a pause, two nodes that name each other, or the address of a lost leader, would use up all
                // attempts before a new leader is elected.
                backOff();
            }
        }
        throw new IOException(
                "no leader answered in " + MAX_COMMAND_ATTEMPTS + " attempts, the first sent to " + address);
    }

    private PolicyMessage.AdminResult sendCommand(String address, LogOperation operation) throws IOException {
        return (PolicyMessage.AdminResult) exchange(
                address,
                new PolicyMessage.AdminCommand(operation),
                message -> message instanceof PolicyMessage.AdminResult received
                        && received.token().equals(operation.token()));
    }

    private static void backOff() throws IOException {
        try {
            Thread.sleep(RETRY_BACKOFF_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IOException("interrupted while waiting to send the command again", e);
        }
    }

    /** Sends a request; the first message that is expected in response, or null if none arrives within the timeout. */
    private PolicyMessage exchange(String address, PolicyMessage request, Predicate<PolicyMessage> isExpected)
            throws IOException {
        InetSocketAddress receiver = parseAddress(address);
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
            PolicyMessage message = reassemble(packet);
            if (isExpected.test(message)) {
                return message;
            }
        }
        return null;
    }

    /** The message that this packet completes, or null. */
    private PolicyMessage reassemble(DatagramPacket packet) throws IOException {
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

    private static InetSocketAddress parseAddress(String address) {
        int colon = address.lastIndexOf(':');
        return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
    }

    /** Creates the log of one voter of a new group. */
    public static void bootstrap(Path folder, String fleet, String node, List<String> voters) throws IOException {
        RaftLogStore.bootstrap(folder, fleet, node, voters);
    }

    @Override
    public void close() {
        socket.close();
    }
}

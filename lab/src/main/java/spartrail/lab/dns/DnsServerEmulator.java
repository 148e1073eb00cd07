package spartrail.lab.dns;

import java.io.DataInputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * An emulated name server over UDP and TCP, on its own threads. Its records and its behavior may be changed while it
 * runs. Names are compared as they are, so records and queries have to use lower case and the final dot.
 */
public final class DnsServerEmulator implements AutoCloseable {
    /** How the server responds: correctly, or with one fault. */
    public enum Behavior {
        ANSWER,
        TRUNCATE,
        TRUNCATE_AND_REFUSE_TCP,
        TRUNCATE_AND_CUT_TCP,
        TCP_ONE_OCTET_AT_A_TIME,
        SERVFAIL,
        NXDOMAIN,
        EMPTY,
        SILENT,
        LATE,
        WRONG_ID,
        WRONG_QUESTION,
        SPOOF,
        NOISE;

        /** Whether responses over UDP are truncated, whatever their length. */
        boolean isTruncating() {
            return this == TRUNCATE
                    || this == TRUNCATE_AND_REFUSE_TCP
                    || this == TRUNCATE_AND_CUT_TCP
                    || this == TCP_ONE_OCTET_AT_A_TIME;
        }

        /** Whether the correct response follows the faulty one. */
        boolean isFollowedByTrueResponse() {
            return this == SPOOF || this == WRONG_ID || this == WRONG_QUESTION;
        }
    }

    private static final String LOOPBACK = "127.0.0.1";
    private static final int MAX_DATAGRAM_BYTES = 4096;
    private static final int LENGTH_BYTES = 2;
    private static final long LATE_MS = 1500;
    private static final int BACKLOG = 64;
    private static final int PORT_ATTEMPTS = 50;

    private final DatagramSocket udp;
    private final ServerSocket tcp;
    private final DnsResponder responder;
    private final AtomicInteger queries = new AtomicInteger();
    private volatile Behavior behavior = Behavior.ANSWER;
    private volatile boolean isClosed;

    /** Starts the server on a free port. */
    public DnsServerEmulator(long seed) throws IOException {
        responder = new DnsResponder(seed);
        ServerSocket listening = null;
        DatagramSocket datagrams = null;
        // UDP and TCP use the same port number; another process may hold it for one of them.
        for (int i = 0; i < PORT_ATTEMPTS && datagrams == null; i++) {
            listening = new ServerSocket(0, BACKLOG, InetAddress.getByName(LOOPBACK));
            try {
                datagrams = new DatagramSocket(new InetSocketAddress(LOOPBACK, listening.getLocalPort()));
            } catch (IOException e) {
                listening.close();
            }
        }
        if (datagrams == null) {
            throw new IOException("no port is free for both UDP and TCP");
        }
        tcp = listening;
        udp = datagrams;
        startThread("udp", this::serveUdp);
        startThread("tcp", this::acceptTcp);
    }

    private static void startThread(String name, Runnable task) {
        Thread thread = new Thread(task, "spartrail-name-server-" + name);
        thread.setDaemon(true);
        thread.start();
    }

    /** The address, the same for UDP and TCP. */
    public InetSocketAddress address() {
        return new InetSocketAddress(LOOPBACK, udp.getLocalPort());
    }

    /** Queries received so far. */
    public int queries() {
        return queries.get();
    }

    /** Sets how the server responds from now on. */
    public void setBehavior(Behavior newBehavior) {
        behavior = newBehavior;
    }

    /** Replaces the records of a name and type; each line is {@code TTL TYPE data}. */
    public void setRecords(String type, String name, List<String> lines) {
        responder.setRecords(type, name, lines);
    }

    // UDP

    private void serveUdp() {
        byte[] buffer = new byte[MAX_DATAGRAM_BYTES];
        while (!isClosed) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                udp.receive(packet);
                queries.incrementAndGet();
                respondOverUdp(packet);
            } catch (IOException e) {
                // The socket was closed, or the datagram was not a DNS query.
            }
        }
    }

    private void respondOverUdp(DatagramPacket packet) throws IOException {
        byte[] query = Arrays.copyOf(packet.getData(), packet.getLength());
        Behavior current = behavior;
        byte[] response = responder.respond(query, current, false);
        if (response == null) {
            return;
        }
        DatagramPacket reply = new DatagramPacket(response, response.length, packet.getSocketAddress());
        if (current == Behavior.LATE) {
            startThread("late", () -> sendLate(reply));
        } else if (current == Behavior.SPOOF) {
            sendFromOtherPort(reply);
        } else {
            send(reply);
        }
        if (current.isFollowedByTrueResponse()) {
            byte[] trueResponse = responder.respond(query, Behavior.ANSWER, false);
            send(new DatagramPacket(trueResponse, trueResponse.length, packet.getSocketAddress()));
        }
    }

    private void sendLate(DatagramPacket reply) {
        try {
            TimeUnit.MILLISECONDS.sleep(LATE_MS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        send(reply);
    }

    private static void sendFromOtherPort(DatagramPacket reply) throws IOException {
        try (DatagramSocket other = new DatagramSocket(new InetSocketAddress(LOOPBACK, 0))) {
            other.send(reply);
        }
    }

    private void send(DatagramPacket packet) {
        try {
            udp.send(packet);
        } catch (IOException e) {
            // The client has closed its socket.
        }
    }

    // TCP

    private void acceptTcp() {
        while (!isClosed) {
            try {
                Socket socket = tcp.accept();
                if (behavior == Behavior.TRUNCATE_AND_REFUSE_TCP) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    startThread("connection", () -> serveTcp(socket));
                }
            } catch (IOException e) {
                // The socket was closed.
            }
        }
    }

    private void serveTcp(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            boolean isOpen = true;
            while (isOpen && !isClosed) {
                byte[] query = new byte[in.readUnsignedShort()];
                in.readFully(query);
                queries.incrementAndGet();
                byte[] response = responder.respond(query, behavior, true);
                isOpen = response == null || writeOverTcp(out, response);
            }
        } catch (IOException e) {
            // The client has closed its socket.
        }
    }

    /** Writes a response with its length prefix; returns false if it was truncated and the connection has to end. */
    private boolean writeOverTcp(OutputStream out, byte[] response) throws IOException {
        byte[] framed = new byte[LENGTH_BYTES + response.length];
        framed[0] = (byte) (response.length >> Byte.SIZE);
        framed[1] = (byte) response.length;
        System.arraycopy(response, 0, framed, LENGTH_BYTES, response.length);
        if (behavior == Behavior.TRUNCATE_AND_CUT_TCP) {
            out.write(framed, 0, framed.length / 2);
            return false;
        }
        if (behavior == Behavior.TCP_ONE_OCTET_AT_A_TIME) {
            for (byte octet : framed) {
                out.write(octet);
                out.flush();
            }
        } else {
            out.write(framed);
        }
        return true;
    }

    @Override
    public void close() throws IOException {
        isClosed = true;
        udp.close();
        tcp.close();
    }
}

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
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Flags;
import org.xbill.DNS.Message;
import org.xbill.DNS.Name;
import org.xbill.DNS.Rcode;
import org.xbill.DNS.Record;
import org.xbill.DNS.Section;
import org.xbill.DNS.Type;

/** One name server. Its zone can be changed while it runs; names are looked up as they stand, lower case, with their dot. */
public final class DnsServerEmulator implements AutoCloseable {
    /** What becomes of questions. */
    public enum Manner {
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
        NOISE
    }

    private static final int UDP_MOST = 512;
    private static final long LATE_MS = 1500;

    private final DatagramSocket udp;
    private final ServerSocket tcp;
    /** Records by {@code TYPE name}, each {@code TTL TYPE data}. */
    private final Map<String, List<String>> records = new ConcurrentHashMap<>();

    private final AtomicInteger asked = new AtomicInteger();
    private final Random chance;
    private volatile Manner manner = Manner.ANSWER;
    private volatile boolean closed;

    public DnsServerEmulator(long seed) throws IOException {
        chance = new Random(seed);
        ServerSocket listening = null;
        DatagramSocket datagrams = null;
        // Both have the same port: another process may hold one of a pair.
        for (int i = 0; i < 50 && datagrams == null; i++) {
            listening = new ServerSocket(0, 64, InetAddress.getByName("127.0.0.1"));
            try {
                datagrams = new DatagramSocket(new InetSocketAddress("127.0.0.1", listening.getLocalPort()));
            } catch (IOException e) {
                listening.close();
            }
        }
        if (datagrams == null) {
            throw new IOException("no port is free for both UDP and TCP");
        }
        tcp = listening;
        udp = datagrams;
        start("udp", this::datagrams);
        start("tcp", this::connections);
    }

    private void start(String what, Runnable task) {
        Thread thread = new Thread(task, "spartrail-name-server-" + what);
        thread.setDaemon(true);
        thread.start();
    }

    public InetSocketAddress address() {
        return new InetSocketAddress("127.0.0.1", udp.getLocalPort());
    }

    public int asked() {
        return asked.get();
    }

    public void behave(Manner how) {
        manner = how;
    }

    /** Replaces the records of a name and type. */
    public void set(String type, String name, List<String> lines) {
        records.put(type + " " + name, List.copyOf(lines));
    }

    public void remove(String type, String name) {
        records.remove(type + " " + name);
    }

    private void datagrams() {
        byte[] buffer = new byte[4096];
        while (!closed) {
            try {
                DatagramPacket packet = new DatagramPacket(buffer, buffer.length);
                udp.receive(packet);
                asked.incrementAndGet();
                byte[] question = java.util.Arrays.copyOf(packet.getData(), packet.getLength());
                Manner now = manner;
                byte[] answer = answer(question, now, false);
                if (answer == null) {
                    continue;
                }
                DatagramPacket reply = new DatagramPacket(answer, answer.length, packet.getSocketAddress());
                if (now == Manner.LATE) {
                    start("late", () -> {
                        pause(LATE_MS);
                        send(reply);
                    });
                } else if (now == Manner.SPOOF) {
                    try (DatagramSocket other = new DatagramSocket(new InetSocketAddress("127.0.0.1", 0))) {
                        other.send(reply);
                    }
                } else {
                    send(reply);
                }
                if (now == Manner.SPOOF || now == Manner.WRONG_ID || now == Manner.WRONG_QUESTION) {
                    byte[] right = answer(question, Manner.ANSWER, false);
                    send(new DatagramPacket(right, right.length, packet.getSocketAddress()));
                }
            } catch (IOException e) {
                // Closed, or a question that was none.
            }
        }
    }

    private void send(DatagramPacket packet) {
        try {
            udp.send(packet);
        } catch (IOException e) {
            // Whoever asked has gone.
        }
    }

    private static void pause(long ms) {
        try {
            Thread.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void connections() {
        while (!closed) {
            try {
                Socket socket = tcp.accept();
                if (manner == Manner.TRUNCATE_AND_REFUSE_TCP) {
                    socket.setSoLinger(true, 0);
                    socket.close();
                } else {
                    start("connection", () -> serve(socket));
                }
            } catch (IOException e) {
                // Closed.
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            DataInputStream in = new DataInputStream(socket.getInputStream());
            OutputStream out = socket.getOutputStream();
            while (!closed) {
                byte[] question = new byte[in.readUnsignedShort()];
                in.readFully(question);
                asked.incrementAndGet();
                byte[] answer = answer(question, manner, true);
                if (answer == null) {
                    continue;
                }
                byte[] framed = new byte[2 + answer.length];
                framed[0] = (byte) (answer.length >> 8);
                framed[1] = (byte) answer.length;
                System.arraycopy(answer, 0, framed, 2, answer.length);
                if (manner == Manner.TRUNCATE_AND_CUT_TCP) {
                    out.write(framed, 0, framed.length / 2);
                    return;
                }
                if (manner == Manner.TCP_ONE_OCTET_AT_A_TIME) {
                    for (byte octet : framed) {
                        out.write(octet);
                        out.flush();
                    }
                } else {
                    out.write(framed);
                }
            }
        } catch (IOException e) {
            // The other side has gone.
        }
    }

    /** An answer's bytes, or null for none. */
    private byte[] answer(byte[] bytes, Manner how, boolean overTcp) throws IOException {
        if (how == Manner.SILENT) {
            return null;
        }
        if (how == Manner.NOISE) {
            byte[] noise = new byte[1 + chance.nextInt(300)];
            chance.nextBytes(noise);
            return noise;
        }
        Message question = new Message(bytes);
        Name name = question.getQuestion().getName();
        int type = question.getQuestion().getType();
        int id = question.getHeader().getID();
        Message message = new Message(how == Manner.WRONG_ID ? id ^ 0x5555 : id);
        message.getHeader().setFlag(Flags.QR);
        message.addRecord(
                how == Manner.WRONG_QUESTION
                        ? Record.newRecord(Name.fromString("other.example.org."), type, DClass.IN)
                        : question.getQuestion(),
                Section.QUESTION);
        if (how == Manner.SERVFAIL) {
            message.getHeader().setRcode(Rcode.SERVFAIL);
            return message.toWire();
        }
        List<String> lines = how == Manner.EMPTY || how == Manner.NXDOMAIN
                ? List.of()
                : new ArrayList<>(records.getOrDefault(Type.string(type) + " " + name, List.of()));
        if (lines.isEmpty()) {
            List<String> alias = how == Manner.EMPTY || how == Manner.NXDOMAIN
                    ? List.of()
                    : records.getOrDefault("CNAME " + name, List.of());
            if (alias.isEmpty()) {
                message.getHeader().setRcode(how == Manner.NXDOMAIN ? Rcode.NXDOMAIN : Rcode.NOERROR);
                message.addRecord(record(Name.fromString("example.org."), "60 SOA a. b. 1 2 3 4 1"), Section.AUTHORITY);
            } else {
                message.addRecord(record(name, alias.get(0)), Section.ANSWER);
            }
        } else {
            Collections.shuffle(lines, chance);
            for (String line : lines) {
                message.addRecord(record(name, line), Section.ANSWER);
            }
        }
        byte[] wire = message.toWire();
        boolean cuts =
                how.name().startsWith("TRUNCATE") || how == Manner.TCP_ONE_OCTET_AT_A_TIME || wire.length > UDP_MOST;
        if (!overTcp && cuts) {
            Message cut = new Message(id);
            cut.getHeader().setFlag(Flags.QR);
            cut.getHeader().setFlag(Flags.TC);
            cut.addRecord(question.getQuestion(), Section.QUESTION);
            if (!lines.isEmpty()) {
                cut.addRecord(record(name, lines.get(0)), Section.ANSWER);
            }
            return cut.toWire();
        }
        return wire;
    }

    private static Record record(Name name, String line) throws IOException {
        String[] words = line.split(" ", 3);
        return Record.fromString(name, Type.value(words[1]), DClass.IN, Long.parseLong(words[0]), words[2], Name.root);
    }

    @Override
    public void close() throws IOException {
        closed = true;
        udp.close();
        tcp.close();
    }
}

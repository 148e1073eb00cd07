package spartrail.lab.drill;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;
import spartrail.lab.load.HttpResponse;
import spartrail.lab.load.HttpResponseReader;
import spartrail.lab.load.ResponseCheck;
import spartrail.lab.plan.Arrival;

/**
 * Clients of one front node that misbehave until they are closed: some stop in the middle of large requests, some send
 * many requests at once, and some send an id that is in use with a text of their own. Each has a thread.
 */
final class BadClients implements AutoCloseable {
    private static final int HALF_SENDERS = 200;
    private static final int PIPELINING_CLIENTS = 2;
    private static final int REUSING_CLIENTS = 4;
    private static final int PIPELINED_REQUESTS = 40;
    private static final int HALF_TEXT_BYTES = 65_000;
    private static final int REUSED_ID_ATTEMPTS = 200;
    private static final double TIMEOUT_MS = 2000;
    /** Answers that come later than this after the client's timeout count as missing. */
    private static final double LATE_TOLERANCE_MS = 550;

    private static final double NANOS_PER_MS = 1e6;

    /** One action of a client on a new connection. */
    private interface Action {
        void run(Connection connection) throws IOException, HttpResponseReader.InvalidResponseException;
    }

    private final int port;
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicLong halfRequests = new AtomicLong();
    private final AtomicLong answeredInTime = new AtomicLong();
    private final AtomicLong unanswered = new AtomicLong();
    private final AtomicLong ownValues = new AtomicLong();
    private final AtomicLong foreignValues = new AtomicLong();
    private volatile boolean closed;

    /** Starts the clients of the node at this loopback port. */
    BadClients(int port) {
        this.port = port;
        startClients(HALF_SENDERS, this::sendHalfRequest);
        startClients(PIPELINING_CLIENTS, this::sendManyRequestsAtOnce);
        startClients(REUSING_CLIENTS, this::reuseId);
    }

    long halfRequests() {
        return halfRequests.get();
    }

    long answeredInTime() {
        return answeredInTime.get();
    }

    /** Requests that were sent at once with others and not answered in time. */
    long unanswered() {
        return unanswered.get();
    }

    long ownValues() {
        return ownValues.get();
    }

    /** Values that were made for the text of another client with the same id. */
    long foreignValues() {
        return foreignValues.get();
    }

    private void startClients(int count, Action action) {
        for (int i = 0; i < count; i++) {
            Thread thread = new Thread(() -> repeat(action), "bad-client");
            thread.setDaemon(true);
            thread.start();
            threads.add(thread);
        }
    }

    private void repeat(Action action) {
        while (!closed) {
            try (Connection connection = new Connection(port)) {
                action.run(connection);
            } catch (IOException | HttpResponseReader.InvalidResponseException e) {
                // The node may close a bad client's connection at any time; what it owes is counted by the actions.
                Thread.onSpinWait();
            }
        }
    }

    private void sendHalfRequest(Connection connection)
            throws IOException, HttpResponseReader.InvalidResponseException {
        String request = buildRequest(newId(), "x".repeat(HALF_TEXT_BYTES));
        connection.send(request.substring(0, request.length() - 1));
        halfRequests.incrementAndGet();
        connection.receive();
    }

    private void sendManyRequestsAtOnce(Connection connection)
            throws IOException, HttpResponseReader.InvalidResponseException {
        StringBuilder requests = new StringBuilder();
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            requests.append(buildRequest(newId(), "t"));
        }
        long sentNs = System.nanoTime();
        connection.send(requests.toString());
        int inTime = 0;
        try {
            for (int i = 0; i < PIPELINED_REQUESTS && connection.receive() != null; i++) {
                boolean late = (System.nanoTime() - sentNs) / NANOS_PER_MS > TIMEOUT_MS + LATE_TOLERANCE_MS;
                inTime += late ? 0 : 1;
            }
        } finally {
            answeredInTime.addAndGet(inTime);
            unanswered.addAndGet(PIPELINED_REQUESTS - inTime);
        }
    }

    private void reuseId(Connection connection) throws IOException, HttpResponseReader.InvalidResponseException {
        String id = newId();
        try (Connection other = new Connection(port)) {
            connection.send(buildRequest(id, "first"));
            HttpResponse response = null;
            for (int i = 0; i < REUSED_ID_ATTEMPTS && (response == null || response.status() != 200); i++) {
                other.send(buildRequest(id, "second"));
                response = other.receive();
                if (response == null) {
                    return;
                }
            }
            countValues(id, "second", response);
            countValues(id, "first", connection.receive());
        }
    }

    private void countValues(String id, String text, HttpResponse response) {
        if (response == null || response.status() != 200) {
            return;
        }
        ResponseCheck.Body body = ResponseCheck.read(response.body());
        if (body == null) {
            foreignValues.incrementAndGet();
            return;
        }
        for (Map.Entry<Integer, String> value : body.values().entrySet()) {
            byte[] bytes = text.getBytes(StandardCharsets.US_ASCII);
            boolean own = value.getValue().equals(Arrival.value(id + '.' + value.getKey(), value.getKey(), bytes));
            (own ? ownValues : foreignValues).incrementAndGet();
        }
    }

    private static String newId() {
        return String.format(Locale.ROOT, "%016x", ThreadLocalRandom.current().nextLong());
    }

    private static String buildRequest(String id, String text) {
        String body = "{\"segments\":[{\"segment\":0,\"boost\":0.5},{\"segment\":1,\"boost\":0.5}],\"text\":\"" + text
                + "\"}";
        return "POST /orders/k HTTP/1.1\r\nHost: bad\r\nReq-Id: " + id + "\r\nReq-Kind: orders\r\nReq-Deadline: "
                + TIMEOUT_MS / 1000 + "\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
    }

    @Override
    public void close() throws InterruptedException {
        closed = true;
        for (Thread thread : threads) {
            thread.join();
        }
    }

    /** A blocking connection to the node. */
    private static final class Connection implements AutoCloseable {
        private static final int READ_TIMEOUT_MS = 10_000;

        private final Socket socket;
        private final HttpResponseReader responses = new HttpResponseReader();
        private final byte[] buffer = new byte[8192];

        Connection(int port) throws IOException {
            socket = new Socket(InetAddress.getByName("127.0.0.1"), port);
            socket.setSoTimeout(READ_TIMEOUT_MS);
        }

        void send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
        }

        /** The next response, or null if the connection has ended. */
        HttpResponse receive() throws IOException, HttpResponseReader.InvalidResponseException {
            InputStream in = socket.getInputStream();
            HttpResponse response = responses.readNext();
            while (response == null) {
                int count = in.read(buffer);
                if (count < 0) {
                    return null;
                }
                responses.append(ByteBuffer.wrap(buffer, 0, count));
                response = responses.readNext();
            }
            return response;
        }

        @Override
        public void close() throws IOException {
            socket.close();
        }
    }
}

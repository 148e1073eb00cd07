package spartrail.lab.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.net.TcpConnection;
import spartrail.lab.plan.LoadPlan;
import spartrail.model.TimerQueue;

/**
 * Runs a generator on real sockets: the loop's thread calls it when it is due, and passes on what the sockets receive.
 */
public final class HttpClientTransport implements ClientTransport {
    private static final double READINESS_INTERVAL_MS = 500;

    private final SocketLoop loop;
    private LoadGenerator generator;
    private TimerQueue.Timer timer;
    private boolean closed;

    public HttpClientTransport(SocketLoop loop) {
        this.loop = loop;
    }

    /** Starts the plan; from now on only the loop's thread uses the generator. */
    public void drive(LoadGenerator newGenerator, LoadPlan plan) {
        loop.execute(() -> {
            generator = newGenerator;
            generator.start(loop.nowMs());
            plan.targets().forEach(this::probe);
            runGenerator();
        });
    }

    private void runGenerator() {
        generator.run(loop.nowMs());
        scheduleRun();
    }

    /** Moves the generator's only timer; a new timer for each event would fill the queue. */
    private void scheduleRun() {
        double nextMs = generator.nextMs();
        if (timer != null && timer.dueMs() <= nextMs && timer.dueMs() > loop.nowMs()) {
            return;
        }
        loop.cancel(timer);
        timer = nextMs == Double.MAX_VALUE || closed ? null : loop.schedule(nextMs, this::runGenerator);
    }

    /** Asks a front node periodically whether it is ready. */
    private void probe(LoadPlan.Target target) {
        if (closed || generator.isOver()) {
            return;
        }
        HttpResponseReader reader = new HttpResponseReader();
        TcpConnection probeConnection = new TcpConnection(loop) {
            private boolean isReported;

            private void report(boolean up) {
                if (!isReported) {
                    isReported = true;
                    generator.setReady(target, up);
                    close();
                }
            }

            @Override
            protected void onBytes(ByteBuffer in) {
                try {
                    reader.append(in);
                    HttpResponse answer = reader.readNext();
                    if (answer != null) {
                        report(answer.status() == 200);
                    }
                } catch (HttpResponseReader.InvalidResponseException e) {
                    report(false);
                }
            }

            @Override
            protected void onClosed(String reason) {
                report(false);
            }
        };
        try {
            probeConnection.connect(new InetSocketAddress(target.host(), target.port()));
            probeConnection.write(
                    ByteBuffer.wrap(("GET /up HTTP/1.1\r\nHost: " + target + "\r\nConnection: close\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII)));
            loop.schedule(loop.nowMs() + READINESS_INTERVAL_MS, () -> {
                if (probeConnection.isOpen()) {
                    probeConnection.close();
                }
            });
        } catch (IOException e) {
            // No socket could be opened: the generator notices when it opens a connection itself.
        }
        loop.schedule(loop.nowMs() + READINESS_INTERVAL_MS, () -> probe(target));
    }

    public void close() {
        loop.call(() -> closed = true);
    }

    @Override
    public void open(ClientConnection connection) {
        ClientSocket socket = new ClientSocket(connection);
        connection.transportState = socket;
        try {
            socket.connect(new InetSocketAddress(connection.target.host(), connection.target.port()));
        } catch (IOException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    @Override
    public void send(ClientConnection connection, ClientAttempt attempt, double leftMs) {
        ((ClientSocket) connection.transportState).write(encodeRequest(connection, attempt, leftMs));
    }

    @Override
    public void close(ClientConnection connection) {
        if (connection.transportState != null) {
            ((ClientSocket) connection.transportState).close();
        }
    }

    static ByteBuffer encodeRequest(ClientConnection connection, ClientAttempt attempt, double leftMs) {
        var arrival = attempt.arrival;
        StringBuilder body = new StringBuilder(64 + 48 * arrival.shards().length + arrival.textBytes());
        body.append("{\"segments\":[");
        double remainingWeight = 1;
        for (int i = 0; i < arrival.shards().length; i++) {
            // The last weight is the remainder, so that the rounded weights still sum up to one.
            double weight = i == arrival.shards().length - 1
                    ? Math.max(0, remainingWeight)
                    : Math.round(arrival.weights()[i] * 1e6) / 1e6;
            remainingWeight -= weight;
            body.append(i == 0 ? "" : ",")
                    .append("{\"segment\":")
                    .append(arrival.shards()[i])
                    .append(",\"boost\":")
                    .append(Math.round(weight * 1e6) / 1e6);
            if (arrival.costHintMs() > 0) {
                body.append(",\"work\":").append(Math.round(1000 * arrival.costHintMs()));
            }
            body.append('}');
        }
        body.append("],\"text\":\"").append(attempt.text()).append("\"}");
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        String head = "POST /" + arrival.opType() + "/" + arrival.key() + " HTTP/1.1\r\nHost: " + connection.target
                + "\r\nReq-Id: " + attempt.id() + "\r\nReq-Kind: " + arrival.opType() + "\r\nReq-Deadline: "
                + toSeconds(leftMs)
                + (attempt.attemptNumber() > 1 ? "\r\nReq-Retry: 1" : "")
                + (connection.isOwn ? "\r\nConnection: close" : "")
                + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(headBytes.length + bytes.length)
                .put(headBytes)
                .put(bytes)
                .flip();
    }

    /** Formats seconds with three digits; String.format took a tenth of the generator's time. */
    private static String toSeconds(double ms) {
        long wholeMs = Math.max(1, Math.round(ms));
        String millis = Long.toString(wholeMs % 1000);
        return wholeMs / 1000 + "." + "000".substring(millis.length()) + millis;
    }

    /** The socket of one client connection. */
    private final class ClientSocket extends TcpConnection {
        private final ClientConnection connection;
        private final HttpResponseReader reader = new HttpResponseReader();

        ClientSocket(ClientConnection connection) {
            super(HttpClientTransport.this.loop);
            this.connection = connection;
        }

        @Override
        protected void onConnected() {
            generator.onConnected(connection, loop.nowMs());
            scheduleRun();
        }

        @Override
        protected void onFlushed() {
            generator.onWritten(connection, loop.nowMs());
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            try {
                reader.append(in);
                for (HttpResponse answer = reader.readNext(); answer != null && isOpen(); answer = reader.readNext()) {
                    generator.onResponse(connection, answer, loop.nowMs());
                }
                if (isOpen() && connection.attempt == null && reader.hasBegun()) {
                    generator.onUnexpectedBytes(connection, loop.nowMs());
                }
            } catch (HttpResponseReader.InvalidResponseException e) {
                generator.onInvalidResponse(connection, e.kind, loop.nowMs());
            }
            scheduleRun();
        }

        @Override
        protected void onClosed(String reason) {
            HttpResponse answer = reader.readAtClose();
            if (answer != null) {
                generator.onResponse(connection, answer, loop.nowMs());
            } else {
                generator.onConnectionLost(connection, reader.hasBegun(), loop.nowMs());
            }
            scheduleRun();
        }
    }
}

package spartrail.lab.load;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import spartrail.lab.net.SocketLoop;
import spartrail.lab.net.TcpConnection;
import spartrail.lab.plan.LoadPlan;
import spartrail.model.TimerQueue;

/** The generator on real sockets: its loop's thread runs it when it is due and tells it what came. */
public final class HttpClientTransport implements ClientTransport {
    private static final double LOOKED_MS = 500;

    private final SocketLoop loop;
    private LoadGenerator generator;
    private TimerQueue.Timer due;
    private boolean closed;

    public HttpClientTransport(SocketLoop loop) {
        this.loop = loop;
    }

    /** Starts the plan's time; from here on the loop's thread owns the generator. */
    public void drive(LoadGenerator driven, LoadPlan plan) {
        loop.execute(() -> {
            generator = driven;
            generator.start(loop.nowMs());
            plan.targets().forEach(this::look);
            turn();
        });
    }

    private void turn() {
        generator.run(loop.nowMs());
        plan();
    }

    /** Moves the one timer of the generator; a timer for each call would fill the queue. */
    private void plan() {
        double nextMs = generator.nextMs();
        if (due != null && due.dueMs() <= nextMs && due.dueMs() > loop.nowMs()) {
            return;
        }
        loop.cancel(due);
        due = nextMs == Double.MAX_VALUE || closed ? null : loop.schedule(nextMs, this::turn);
    }

    /** Asks a front node again and again whether it is ready. */
    private void look(LoadPlan.Target target) {
        if (closed || generator.over()) {
            return;
        }
        HttpResponseReader reader = new HttpResponseReader();
        TcpConnection link = new TcpConnection(loop) {
            private boolean told;

            private void tell(boolean up) {
                if (!told) {
                    told = true;
                    generator.up(target, up);
                    close();
                }
            }

            @Override
            protected void onBytes(ByteBuffer in) {
                try {
                    reader.take(in);
                    HttpResponse answer = reader.next();
                    if (answer != null) {
                        tell(answer.status() == 200);
                    }
                } catch (HttpResponseReader.Unusable e) {
                    tell(false);
                }
            }

            @Override
            protected void onClosed(String why) {
                tell(false);
            }
        };
        try {
            link.connect(new InetSocketAddress(target.host(), target.port()));
            link.write(ByteBuffer.wrap(("GET /up HTTP/1.1\r\nHost: " + target + "\r\nConnection: close\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII)));
            loop.schedule(loop.nowMs() + LOOKED_MS, () -> {
                if (link.isOpen()) {
                    link.close();
                }
            });
        } catch (IOException e) {
            // No socket: the generator finds out by itself.
        }
        loop.schedule(loop.nowMs() + LOOKED_MS, () -> look(target));
    }

    public void close() {
        loop.call(() -> closed = true);
    }

    @Override
    public void open(ClientConnection conn) {
        Client client = new Client(conn);
        conn.carrier = client;
        try {
            client.connect(new InetSocketAddress(conn.target.host(), conn.target.port()));
        } catch (IOException e) {
            throw new IllegalStateException(e.getMessage(), e);
        }
    }

    @Override
    public void send(ClientConnection conn, ClientAttempt ask, double leftMs) {
        ((Client) conn.carrier).write(request(conn, ask, leftMs));
    }

    @Override
    public void close(ClientConnection conn) {
        if (conn.carrier != null) {
            ((Client) conn.carrier).close();
        }
    }

    static ByteBuffer request(ClientConnection conn, ClientAttempt ask, double leftMs) {
        var arrival = ask.arrival;
        StringBuilder body = new StringBuilder(64 + 48 * arrival.shards().length + arrival.textBytes());
        body.append("{\"segments\":[");
        double rest = 1;
        for (int i = 0; i < arrival.shards().length; i++) {
            // Rounded weights still sum up to one: the last takes the rest.
            double weight =
                    i == arrival.shards().length - 1 ? Math.max(0, rest) : Math.round(arrival.weights()[i] * 1e6) / 1e6;
            rest -= weight;
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
        body.append("],\"text\":\"").append(ask.text()).append("\"}");
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        String head = "POST /" + arrival.opType() + "/" + arrival.key() + " HTTP/1.1\r\nHost: " + conn.target
                + "\r\nReq-Id: " + ask.id() + "\r\nReq-Kind: " + arrival.opType() + "\r\nReq-Deadline: "
                + seconds(leftMs)
                + (ask.tryNumber() > 1 ? "\r\nReq-Retry: 1" : "") + (conn.own ? "\r\nConnection: close" : "")
                + "\r\nContent-Length: " + bytes.length + "\r\n\r\n";
        byte[] headBytes = head.getBytes(StandardCharsets.US_ASCII);
        return ByteBuffer.allocate(headBytes.length + bytes.length)
                .put(headBytes)
                .put(bytes)
                .flip();
    }

    /** Seconds to three digits; a formatter took a tenth of the generator's time. */
    private static String seconds(double ms) {
        long whole = Math.max(1, Math.round(ms));
        String rest = Long.toString(whole % 1000);
        return whole / 1000 + "." + "000".substring(rest.length()) + rest;
    }

    /** One client's connection. */
    private final class Client extends TcpConnection {
        private final ClientConnection conn;
        private final HttpResponseReader reader = new HttpResponseReader();

        Client(ClientConnection conn) {
            super(HttpClientTransport.this.loop);
            this.conn = conn;
        }

        @Override
        protected void onConnected() {
            generator.connected(conn, loop.nowMs());
            plan();
        }

        @Override
        protected void onFlushed() {
            generator.written(conn, loop.nowMs());
        }

        @Override
        protected void onBytes(ByteBuffer in) {
            try {
                reader.take(in);
                for (HttpResponse answer = reader.next(); answer != null && isOpen(); answer = reader.next()) {
                    generator.answered(conn, answer, loop.nowMs());
                }
                if (isOpen() && conn.ask == null && reader.begun()) {
                    generator.extra(conn, loop.nowMs());
                }
            } catch (HttpResponseReader.Unusable e) {
                generator.spoilt(conn, e.kind, loop.nowMs());
            }
            plan();
        }

        @Override
        protected void onClosed(String why) {
            HttpResponse answer = reader.atEnd();
            if (answer != null) {
                generator.answered(conn, answer, loop.nowMs());
            } else {
                generator.broken(conn, reader.begun(), loop.nowMs());
            }
            plan();
        }
    }
}

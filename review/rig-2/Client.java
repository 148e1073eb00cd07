import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

/** Stand-in of a client with one connection; it sends one request at a time. */
final class Client implements AutoCloseable {
    /** What came back; status 0: the connection ended without a whole answer, -1: no answer in the time to wait. */
    record Reply(int status, String body, double tookMs, String retryAfter) {}

    private final int port;
    private volatile Socket socket;
    /** The client has closed its connection for good, and sends nothing more. */
    private volatile boolean left;

    Client(int port) {
        this.port = port;
    }

    /** Sends a multiget for these shards, of equal shares, and waits for its answer up to half a second longer. */
    Reply ask(String id, String opType, double deadlineS, String text, int... shards) {
        double fromMs = Record.nowMs();
        StringBuilder body = new StringBuilder("{\"segments\":[");
        double left = 1;
        for (int i = 0; i < shards.length; i++) {
            double share = i == shards.length - 1 ? left : Math.round(1e6 / shards.length) / 1e6;
            left -= share;
            body.append(i == 0 ? "" : ",")
                    .append("{\"segment\":")
                    .append(shards[i])
                    .append(String.format(Locale.ROOT, ",\"boost\":%.6f}", share));
        }
        body.append("],\"text\":\"").append(text).append("\"}");
        byte[] bytes = body.toString().getBytes(StandardCharsets.UTF_8);
        String head = String.format(
                Locale.ROOT,
                "POST /%s/k HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Kind: %s\r\nReq-Deadline: %.3f\r\n"
                        + "Content-Length: %d\r\n\r\n",
                opType, id, opType, deadlineS, bytes.length);
        ByteArrayOutputStream request = new ByteArrayOutputStream();
        request.writeBytes(head.getBytes(StandardCharsets.US_ASCII));
        request.writeBytes(bytes);
        return exchange(request.toByteArray(), fromMs, fromMs + 1000 * deadlineS + 600);
    }

    Reply get(String path) {
        double fromMs = Record.nowMs();
        return exchange(
                ("GET " + path + " HTTP/1.1\r\nHost: api.internal\r\n\r\n").getBytes(StandardCharsets.US_ASCII),
                fromMs,
                fromMs + 2000);
    }

    private Reply exchange(byte[] request, double fromMs, double untilMs) {
        boolean used = socket != null;
        Reply reply = tryOnce(request, fromMs, untilMs);
        // A request that crosses the end of a connection that was used before is sent once more on a new one.
        return used && reply.status == 0 && !left ? tryOnce(request, fromMs, untilMs) : reply;
    }

    private Reply tryOnce(byte[] request, double fromMs, double untilMs) {
        try {
            Socket socket = this.socket;
            if (socket == null) {
                socket = new Socket("127.0.0.1", port);
                socket.setTcpNoDelay(true);
                this.socket = socket;
            }
            socket.getOutputStream().write(request);
            InputStream in = socket.getInputStream();
            StringBuilder head = new StringBuilder();
            while (head.indexOf("\r\n\r\n") < 0) {
                head.append((char) read(socket, in, untilMs));
            }
            int status = Integer.parseInt(head.substring(9, 12));
            int length = 0;
            boolean closes = false;
            String retryAfter = null;
            for (String line : head.toString().split("\r\n")) {
                String lower = line.toLowerCase(Locale.ROOT);
                if (lower.startsWith("content-length:")) {
                    length = Integer.parseInt(line.substring(15).trim());
                } else if (lower.startsWith("retry-after:")) {
                    retryAfter = line.substring(12).trim();
                }
                closes |= lower.startsWith("connection:") && lower.contains("close");
            }
            byte[] body = new byte[length];
            for (int at = 0; at < length; ) {
                socket.setSoTimeout((int) Math.max(1, untilMs - Record.nowMs()));
                int count = in.read(body, at, length - at);
                if (count < 0) {
                    throw new IOException("ended");
                }
                at += count;
            }
            if (closes) {
                close();
            }
            return new Reply(status, new String(body, StandardCharsets.UTF_8), Record.nowMs() - fromMs, retryAfter);
        } catch (java.net.SocketTimeoutException e) {
            close();
            return new Reply(-1, "", Record.nowMs() - fromMs, null);
        } catch (IOException e) {
            close();
            return new Reply(0, "", Record.nowMs() - fromMs, null);
        }
    }

    private static int read(Socket socket, InputStream in, double untilMs) throws IOException {
        socket.setSoTimeout((int) Math.max(1, untilMs - Record.nowMs()));
        int next = in.read();
        if (next < 0) {
            throw new IOException("ended");
        }
        return next;
    }

    /** Leaves: closes the connection while a request may be under way. */
    void leave() {
        left = true;
        close();
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Closed before.
        }
        socket = null;
    }
}

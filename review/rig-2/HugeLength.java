import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** A bad client states a huge length, and its body begins with bytes that look like a request. */
public final class HugeLength {
    private static final String[] HUGE_LENGTHS = {"1" + "0".repeat(18), "1" + "0".repeat(20), "1" + "0".repeat(64)};
    private static final int READ_TIMEOUT_MS = 1000;

    private HugeLength() {}

    public static void main(String[] args) throws Exception {
        Rig.main(Path.of(args[0]), HugeLength::run);
    }

    private static int run(Path folder, Record record) throws Exception {
        Deployment deployment = new Deployment(folder, record);
        Set<String> hidden = ConcurrentHashMap.newKeySet();
        for (IndexServer server : deployment.servers) {
            server.observer = part -> {
                if (part.query().startsWith("bad")) {
                    hidden.add(part.query());
                    record.add("%s got %s, which is no request of any client", server.uid, part.id());
                }
            };
        }
        deployment.start();
        Traffic traffic =
                new Traffic(record, deployment.node, 4, Record.nowMs() + 15_000, 50, (id, text, reply) -> {}, 0, 1);
        for (int i = 0; i < 9; i++) {
            sendBadRequest(record, deployment.node.port, i);
        }
        boolean couldRun = traffic.endAndReport(record);
        record.say("of 9 bodies of a bad client, index servers got %d as requests: %s", hidden.size(), hidden);
        if (!couldRun) {
            return Rig.COULD_NOT_RUN;
        }
        return hidden.isEmpty() ? Rig.HELD : Rig.BROKEN;
    }

    /** Sends one request; without the disruption, the stated length is that of its body. */
    private static void sendBadRequest(Record record, int port, int number) {
        String query = "{\"segments\":[{\"segment\":0,\"boost\":1}],\"text\":\"hidden\"}";
        String inner = request("bad-inner-" + number, Integer.toString(query.length()), query);
        String length = Rig.TROUBLE ? HUGE_LENGTHS[number % HUGE_LENGTHS.length] : Integer.toString(inner.length());
        StringBuilder got = new StringBuilder();
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(READ_TIMEOUT_MS);
            socket.getOutputStream()
                    .write(request("bad-outer-" + number, length, inner).getBytes(StandardCharsets.US_ASCII));
            InputStream in = socket.getInputStream();
            for (int next = in.read(); next >= 0; next = in.read()) {
                got.append((char) next);
            }
        } catch (IOException e) {
            got.append(" (").append(e.getMessage()).append(')');
        }
        record.add("bad client: length %s, got %s", length, got.toString().replaceAll("\r?\n", "|"));
    }

    private static String request(String id, String length, String body) {
        return String.format(
                Locale.ROOT,
                "POST /orders/k HTTP/1.1\r\nHost: api.internal\r\nReq-Id: %s\r\nReq-Kind: orders\r\n"
                        + "Req-Deadline: 2.000\r\nContent-Length: %s\r\n\r\n%s",
                id, length, body);
    }
}

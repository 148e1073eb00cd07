package spartrail.front;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import spartrail.config.DeploymentFile;
import spartrail.coordination.Coordinator;

/** Runs a complete node on the loopback, between raw client connections and the toy fleet of the example. */
abstract class FrontNodeFixture {
    static final String UP = "GET /up HTTP/1.1\r\nHost: x\r\n\r\n";

    final ToyFleet fleet = new ToyFleet(4, 0, 0);

    final BlockingQueue<String> events = new LinkedBlockingQueue<>();

    final List<Client> clients = new ArrayList<>();

    UnaryOperator<Coordinator> coordinatorDecorator = UnaryOperator.identity();

    /** The violations of invariants that the test provokes. */
    Map<String, Long> expectedViolations = Map.of();

    volatile FrontNode node;

    FrontNodeFixture() throws IOException {}

    /** Starts a node; for the changes see {@link #createDeployment}. */
    void start(String... changes) throws IOException {
        DeploymentFile deployment = createDeployment(changes);
        node = new FrontNode(deployment, deployment.listen(), coordinatorDecorator);
        node.start();
    }

    /**
     * The example's configuration with the ports of this fleet; the changes are pairs of a text and its replacement.
     */
    DeploymentFile createDeployment(String... changes) throws IOException {
        String text = Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replace("127.0.0.1:8500", fleet.discoveryEndpoint());
        for (int i = 0; i < 4; i++) {
            text = text.replace("127.0.0.1:" + (7001 + i), fleet.servers.get(i).endpoint());
        }
        for (int i = 0; i < changes.length; i += 2) {
            assertThat(text).contains(changes[i]);
            text = text.replace(changes[i], changes[i + 1]);
        }
        return DeploymentFile.parse(text);
    }

    @AfterEach
    void close() throws Exception {
        for (Client client : clients) {
            client.socket.close();
        }
        node.close();
        fleet.close();
        assertThat(node.invariants().violations()).isEqualTo(expectedViolations);
    }

    /** A raw client connection. */
    final class Client {
        final Socket socket;
        final InputStream in;

        Client() throws IOException {
            InetSocketAddress address = node.address();
            socket = new Socket(address.getAddress(), address.getPort());
            socket.setSoTimeout(20_000);
            in = new BufferedInputStream(socket.getInputStream());
            clients.add(this);
        }

        Client send(String text) throws IOException {
            socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
            return this;
        }

        Client query(String id, int... shards) throws IOException {
            return send(buildRequest(id, "4", buildBody(shards)));
        }

        /** Reads the next response: status, "close" if the head says so, and body; or "closed" if there is none. */
        String readResponse() throws IOException {
            StringBuilder head = new StringBuilder();
            try {
                while (head.indexOf("\r\n\r\n") < 0) {
                    int next = in.read();
                    if (next < 0) {
                        return "closed";
                    }
                    head.append((char) next);
                }
            } catch (java.net.SocketException e) {
                return "closed";
            }
            int length = Integer.parseInt(head.toString().replaceAll("(?s).*Content-Length: (\\d+).*", "$1"));
            String body = new String(in.readNBytes(length), StandardCharsets.UTF_8).strip();
            return head.substring(9, 12) + (head.indexOf("Connection: close") > 0 ? " close " : " ") + body;
        }
    }

    static String buildBody(int... shards) {
        StringBuilder body = new StringBuilder("{\"segments\":[");
        for (int shard : shards) {
            body.append("{\"segment\":")
                    .append(shard)
                    .append(",\"boost\":")
                    .append(1.0 / shards.length)
                    .append(",\"work\":9000,\"affinity\":\"00ff00ff00ff00ff\"},");
        }
        body.setCharAt(body.length() - 1, ']');
        return body.append(",\"text\":\"t\"}").toString();
    }

    static String buildRequest(String id, String deadline, String body) {
        return "POST /orders/k HTTP/1.1\r\nHost: api.internal\r\nReq-Id: " + id
                + "\r\nReq-Kind: orders\r\nReq-Deadline: " + deadline + "\r\nContent-Length: "
                + body.getBytes(StandardCharsets.UTF_8).length + "\r\n\r\n" + body;
    }

    /**
     * Makes the servers record parts and cancellations as events, and answer only parts of the multigets with these
     * ids.
     */
    void answerOnly(String... answered) {
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) throws IOException {
                events.add("part " + id);
                if (List.of(answered).contains(id.substring(0, id.indexOf('.')))) {
                    connection.sendResponse(id, "OK", text);
                }
            }

            @Override
            public void onCancelled(ToyFleet.Connection connection, String id) {
                events.add("cancelled " + id);
            }
        });
    }

    String nextEvent() throws InterruptedException {
        String next = events.poll(20, TimeUnit.SECONDS);
        return next == null ? "nothing" : next;
    }
}

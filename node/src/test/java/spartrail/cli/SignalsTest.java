package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

/** Runs a node as a separate process, and checks by its log how it reacts to signals. */
class SignalsTest extends NodeProcessFixture {
    /** The descriptor limit in the test of many idle clients; the JVM itself has some dozens open. */
    private static final int MAX_DESCRIPTORS = 160;

    SignalsTest() throws IOException {}

    @Test
    void repeatedSignalsAndUnusableFilesLeaveRequestsInFlightAnswered() throws Exception {
        CompletableFuture<ToyFleet.Connection> held = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) {
                held.complete(connection);
            }
        });
        startNode("");
        int port = awaitPort();
        sendSignal("HUP");
        assertThat(awaitLine("configuration")).isEqualTo("spartrail.cli: configuration reloaded");
        Files.delete(configurationFile);
        sendSignal("HUP");
        assertThat(awaitLine("configuration"))
                .isEqualTo(
                        "spartrail.cli: configuration rejected, the previous one stays in effect: cannot read DIR/config.json");
        try (Socket client = new Socket("127.0.0.1", port)) {
            String body = "{\"segments\":[{\"segment\":0,\"boost\":1}],\"text\":\"t\"}";
            client.getOutputStream()
                    .write(
                            ("POST /orders/k HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Kind: orders\r\nReq-Deadline: 20\r\n"
                                            + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.US_ASCII));
            ToyFleet.Connection connection = held.get(20, TimeUnit.SECONDS);
            Files.writeString(configurationFile, validConfiguration.substring(0, validConfiguration.length() / 2));
            sendSignal("TERM");
            assertThat(awaitLine("draining")).startsWith("spartrail.front: draining: ");
            sendSignal("TERM");
            sendSignal("HUP");
            assertThat(awaitLine("configuration"))
                    .startsWith(
                            "spartrail.cli: configuration rejected, the previous one stays in effect: DIR/config.json: invalid JSON: ");
            // Another op type needs a restart; the request in flight keeps its op type.
            Files.writeString(configurationFile, validConfiguration.replace("\"orders\"", "\"others\""));
            sendSignal("HUP");
            assertThat(awaitLine("configuration"))
                    .isEqualTo("spartrail.cli: configuration reloaded; its settings need a restart: "
                            + "classes: found [others], in use [orders]");
            connection.sendResponse("a.0", "OK", "t");
            InputStream in = client.getInputStream();
            client.setSoTimeout(20_000);
            assertThat(new String(in.readAllBytes(), StandardCharsets.US_ASCII)).startsWith("HTTP/1.1 200");
        }
        assertThat(awaitLine("drained")).isEqualTo("spartrail.front: drained");
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(143);
    }

    @Test
    void aNodeTerminatedBeforeDiscoveryAnswersEnds() throws Exception {
        fleet.silent = true;
        startNode("");
        fleet.awaitPolled();
        sendSignal("TERM");
        assertThat(awaitLine("drained")).isEqualTo("spartrail.front: drained");
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(143);
    }

    @Test
    void aNodeLogsThatItIgnoresSighup() throws Exception {
        startNode("trap '' HUP; ");
        assertThat(awaitLine("SIGHUP")).startsWith("spartrail.cli: SIGHUP is ignored, ");
        assertThat(awaitLine("serving on")).startsWith("spartrail.front: serving on ");
    }

    @Test
    void theStartCommandRestoresAnIgnoredSighup() throws Exception {
        startNodeByStartCommand("trap '' HUP; ");
        assertThat(awaitLine("serving on")).startsWith("spartrail.front: serving on ");
        sendSignal("HUP");
        assertThat(awaitLine("configuration")).isEqualTo("spartrail.cli: configuration reloaded");
    }

    @Test
    void aNodeWhoseDiscoveryIsSilentIsReadyWithinTenSeconds() throws Exception {
        fleet.silent = true;
        long fromNs = System.nanoTime();
        startNodeByStartCommand("");
        assertThat(awaitLine("serving on")).startsWith("spartrail.front: serving on ");
        assertThat(System.nanoTime() - fromNs).isLessThan(10_000_000_000L);
    }

    @Test
    void idleClientsThatFillTheDescriptorsDoNotStopEndpointUpdates() throws Exception {
        Files.writeString(
                configurationFile, validConfiguration.replace("\"sockets\": 1024", "\"sockets\": " + MAX_DESCRIPTORS));
        // The system enforces the limit, whatever the node itself counts.
        startNode("ulimit -n " + MAX_DESCRIPTORS + "; ");
        int port = awaitPort();
        fleet.silent = true;
        fleet.publish(fleet.servers.get(0), "SERVING");
        assertThat(awaitLine("unavailable: ")).contains("discovery").contains("no response in time");
        List<Socket> idle = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * MAX_DESCRIPTORS; i++) {
                Socket client = new Socket("127.0.0.1", port);
                idle.add(client);
                // A connection that has sent a request may stay idle; others are closed soon.
                client.getOutputStream()
                        .write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            awaitResponseOrEnd(idle.get(idle.size() - 1));
            assertThat(countDescriptors())
                    .as("open descriptors, of which some must be left for discovery and servers")
                    .isLessThan(MAX_DESCRIPTORS);
            fleet.publish(fleet.servers.get(0), "DRAINING");
            long discoveryAnswersNs = System.nanoTime();
            fleet.silent = false;
            fleet.awaitPublished(true);
            assertThat(System.nanoTime() - discoveryAnswersNs).isLessThan(6_000_000_000L);
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    /** Waits until the last client is answered or disconnected, or for 3 s if there is no descriptor left for it. */
    private static void awaitResponseOrEnd(Socket client) throws IOException {
        client.setSoTimeout(3000);
        try {
            client.getInputStream().read();
        } catch (SocketTimeoutException e) {
            assertThat(client.isConnected()).isTrue();
        }
    }

    private int countDescriptors() {
        String[] open =
                Path.of("/proc", String.valueOf(process.pid()), "fd").toFile().list();
        return open == null ? 0 : open.length;
    }
}

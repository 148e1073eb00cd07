package spartrail.cli;

import static org.assertj.core.api.Assertions.assertThat;

import example.ToyFleet;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/** A process of its own, what is sent to it, and its log. */
class SignalsTest {
    /** Most that a process may hold in the test of a crowd; a JVM has some dozens open itself. */
    private static final int DESCRIPTORS = 160;

    @TempDir
    private Path dir;

    private final ToyFleet fleet = new ToyFleet(4, 0, 0);
    private final BlockingQueue<String> log = new LinkedBlockingQueue<>();
    private Path file;
    private String good;
    private Process process;

    SignalsTest() throws IOException {}

    @BeforeEach
    void start() throws IOException {
        good = Files.readString(Path.of("example/config.json"))
                .replace("127.0.0.1:3000", "127.0.0.1:0")
                .replace("127.0.0.1:8500", fleet.discoveryEndpoint())
                .replace("\"aim\": 2.0, \"deadline\": 4.0", "\"aim\": 1, \"deadline\": 2");
        for (int i = 0; i < 4; i++) {
            good = good.replace("127.0.0.1:" + (7001 + i), fleet.servers.get(i).endpoint());
        }
        file = dir.resolve("config.json");
        Files.writeString(file, good);
    }

    private static String jvm() {
        return ProcessHandle.current().info().command().orElse("java");
    }

    private void serve(String before) throws IOException {
        start(new ProcessBuilder(
                "sh",
                "-c",
                before + "exec \"$@\"",
                "sh",
                jvm(),
                "-cp",
                System.getProperty("java.class.path"),
                "spartrail.Main",
                "serve",
                "--config",
                file.toString()));
    }

    /** By the start command that is deployed; the JVM that it finds runs these classes, as there is no jar yet. */
    private void serveByStartCommand(String before) throws IOException {
        Path java = Files.createDirectories(dir.resolve("bin")).resolve("java");
        Files.writeString(
                java,
                "#!/bin/sh\nexec '" + jvm() + "' -cp '" + System.getProperty("java.class.path")
                        + "' spartrail.Main serve\n");
        assertThat(java.toFile().setExecutable(true)).isTrue();
        ProcessBuilder command = new ProcessBuilder("sh", "-c", before + "exec sh deploy/run.sh");
        command.environment().put("PATH", java.getParent() + ":" + System.getenv("PATH"));
        command.environment().put("BALANCER_CONFIG", file.toString());
        start(command);
    }

    private void start(ProcessBuilder command) throws IOException {
        process = command.redirectErrorStream(true).start();
        Thread reading = new Thread(() -> {
            try (BufferedReader lines = process.inputReader()) {
                lines.lines().forEach(log::add);
            } catch (IOException e) {
                log.add(String.valueOf(e));
            }
        });
        reading.setDaemon(true);
        reading.start();
    }

    @AfterEach
    void close() throws Exception {
        process.destroyForcibly().waitFor();
        fleet.close();
    }

    /** The next line of the log with these words, without its time. */
    private String awaitLine(String words) throws InterruptedException {
        for (String line = ""; line != null; line = log.poll(20, TimeUnit.SECONDS)) {
            if (line.contains(words)) {
                return line.replaceAll("^.*? (INFO|WARNING) ", "").replace(dir.toString(), "DIR");
            }
        }
        return "no line with '" + words + "', process "
                + (process.isAlive() ? "runs" : "ended with " + process.exitValue());
    }

    private void signal(String name) throws IOException, InterruptedException {
        new ProcessBuilder("sh", "-c", "kill -" + name + " " + process.pid())
                .start()
                .waitFor();
    }

    @Test
    void repeatedSignalsAndUnusableFilesLeaveRequestsInFlightAnswered() throws Exception {
        CompletableFuture<ToyFleet.Connection> held = new CompletableFuture<>();
        fleet.servers.forEach(server -> server.behavior = new ToyFleet.ServerBehavior() {
            @Override
            public void onPart(ToyFleet.Connection connection, String id, int shard, String text) {
                held.complete(connection);
            }
        });
        serve("");
        String port = awaitLine("serving on").replaceAll(".*:(\\d+), 4 servers known", "$1");
        signal("HUP");
        assertThat(awaitLine("configuration")).isEqualTo("spartrail.cli: configuration reloaded");
        Files.delete(file);
        signal("HUP");
        assertThat(awaitLine("configuration"))
                .isEqualTo(
                        "spartrail.cli: configuration rejected, the previous one stays in effect: cannot read DIR/config.json");
        try (Socket client = new Socket("127.0.0.1", Integer.parseInt(port))) {
            String body = "{\"segments\":[{\"segment\":0,\"boost\":1}],\"text\":\"t\"}";
            client.getOutputStream()
                    .write(
                            ("POST /orders/k HTTP/1.1\r\nHost: x\r\nReq-Id: a\r\nReq-Kind: orders\r\nReq-Deadline: 20\r\n"
                                            + "Content-Length: " + body.length() + "\r\n\r\n" + body)
                                    .getBytes(StandardCharsets.US_ASCII));
            ToyFleet.Connection connection = held.get(20, TimeUnit.SECONDS);
            Files.writeString(file, good.substring(0, good.length() / 2));
            signal("TERM");
            assertThat(awaitLine("draining")).startsWith("spartrail.front: draining: ");
            signal("TERM");
            signal("HUP");
            assertThat(awaitLine("configuration"))
                    .startsWith(
                            "spartrail.cli: configuration rejected, the previous one stays in effect: DIR/config.json: invalid JSON: ");
            // One whose op type is another's waits for a start; what is in hand goes on by its own.
            Files.writeString(file, good.replace("\"orders\"", "\"others\""));
            signal("HUP");
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
        serve("");
        fleet.awaitPolled();
        signal("TERM");
        assertThat(awaitLine("drained")).isEqualTo("spartrail.front: drained");
        assertThat(process.waitFor(20, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(143);
    }

    @Test
    void aNodeThatIgnoresSighupLogsIt() throws Exception {
        serve("trap '' HUP; ");
        assertThat(awaitLine("SIGHUP")).startsWith("spartrail.cli: SIGHUP is ignored, ");
        assertThat(awaitLine("serving on")).startsWith("spartrail.front: serving on ");
    }

    @Test
    void theStartCommandRestoresAnIgnoredSighup() throws Exception {
        serveByStartCommand("trap '' HUP; ");
        assertThat(awaitLine("serving on")).startsWith("spartrail.front: serving on ");
        signal("HUP");
        assertThat(awaitLine("configuration")).isEqualTo("spartrail.cli: configuration reloaded");
    }

    @Test
    void aNodeWhoseDiscoveryIsSilentIsReadyWithinTenSeconds() throws Exception {
        fleet.silent = true;
        long fromNs = System.nanoTime();
        serveByStartCommand("");
        assertThat(awaitLine("serving on")).startsWith("spartrail.front: serving on ");
        assertThat(System.nanoTime() - fromNs).isLessThan(10_000_000_000L);
    }

    @Test
    void idleClientsThatFillTheDescriptorsDoNotStopEndpointUpdates() throws Exception {
        Files.writeString(file, good.replace("\"sockets\": 1024", "\"sockets\": " + DESCRIPTORS));
        // The process cannot hold more than that, whatever it counts itself.
        serve("ulimit -n " + DESCRIPTORS + "; ");
        int port = Integer.parseInt(awaitLine("serving on").replaceAll(".*:(\\d+), 4 servers known", "$1"));
        fleet.silent = true;
        fleet.publish(fleet.servers.get(0), "SERVING");
        assertThat(awaitLine("cannot be had")).contains("no answer in time");
        List<Socket> idle = new ArrayList<>();
        try {
            for (int i = 0; i < 2 * DESCRIPTORS; i++) {
                Socket client = new Socket("127.0.0.1", port);
                idle.add(client);
                // One that has asked once may rest; others are closed soon.
                client.getOutputStream()
                        .write("GET /up HTTP/1.1\r\nHost: x\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
            }
            awaitAnswerOrEnd(idle.get(idle.size() - 1));
            assertThat(descriptorsHeld())
                    .as("some are left to discovery and to servers")
                    .isLessThan(DESCRIPTORS);
            fleet.publish(fleet.servers.get(0), "DRAINING");
            long reachableNs = System.nanoTime();
            fleet.silent = false;
            fleet.awaitPublished(true);
            assertThat(System.nanoTime() - reachableNs).isLessThan(6_000_000_000L);
        } finally {
            for (Socket socket : idle) {
                socket.close();
            }
        }
    }

    /** The last one to come is answered or turned away, unless there is no descriptor left for it. */
    private static void awaitAnswerOrEnd(Socket client) throws IOException {
        client.setSoTimeout(3000);
        try {
            client.getInputStream().read();
        } catch (SocketTimeoutException e) {
            assertThat(client.isConnected()).isTrue();
        }
    }

    private int descriptorsHeld() {
        String[] held =
                Path.of("/proc", String.valueOf(process.pid()), "fd").toFile().list();
        return held == null ? 0 : held.length;
    }
}

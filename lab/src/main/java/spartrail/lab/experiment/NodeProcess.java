package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.BindException;
import java.net.DatagramSocket;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import spartrail.lab.file.Document;
import spartrail.lab.file.InvalidInputException;
import spartrail.policy.replication.CrashPoint;

/** A front node as a process of its own, sized as operators start it. */
public final class NodeProcess implements AutoCloseable {
    private static final double READY_MS = 30_000;
    private static final int PORTS_FROM = 12_000;
    private static final int PORTS = 20_000;
    private static final int PORT_TRIES = 1000;

    private final Path jar;
    private final Path config;
    private final Path log;
    private final int memoryMb;
    private final String address;
    private final Extras extras;
    /** A shell that ends the node when this process has ended, however that came: its standard input then ends. */
    private Process guard;

    private ProcessHandle handle;
    private int starts;
    /** CPU of processes of this node that have ended. */
    private double cpuBeforeMs;

    /** What a node is started with beside its configuration; null for what it is not. */
    public record Extras(Path members, Path peers, Path history, Path state, Path record) {
        public static final Extras NONE = new Extras(null, null, null, null, null);
    }

    private NodeProcess(Path jar, Path config, Path log, int memoryMb, String address, Extras extras) {
        this.jar = jar;
        this.config = config;
        this.log = log;
        this.memoryMb = memoryMb;
        this.address = address;
        this.extras = extras;
    }

    /** The jar of this version. */
    public static Path ownJar() {
        String root = System.getenv("SPARTRAIL_ROOT");
        Path jar = Path.of(root == null ? "." : root, "node", "target", "spartrail.jar");
        if (!Files.isReadable(jar)) {
            throw new InvalidInputException(jar + ": is not there; build it with: mvn -q -DskipTests package");
        }
        return jar.toAbsolutePath();
    }

    /**
     * A port that is free now, below the ephemeral range: one of that range could be given to a connecting socket while its node is
     * down.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < PORT_TRIES; i++) {
            int port = PORTS_FROM + ThreadLocalRandom.current().nextInt(PORTS);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket udp =
                            new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port))) {
                return port;
            } catch (BindException e) {
                // Another one.
            }
        }
        throw new IOException("no port from " + PORTS_FROM + " to " + (PORTS_FROM + PORTS) + " is free");
    }

    public static NodeProcess start(Path jar, ObjectNode config, Path folder, String name, int memoryMb)
            throws IOException, InterruptedException {
        NodeProcess node = launched(jar, config, folder, name, memoryMb, Extras.NONE);
        node.awaitReady();
        return node;
    }

    /** With a members' file: servers come from DNS, too. */
    public static NodeProcess start(Path jar, ObjectNode config, Path folder, String name, int memoryMb, Path members)
            throws IOException, InterruptedException {
        NodeProcess node = launched(jar, config, folder, name, memoryMb, new Extras(members, null, null, null, null));
        node.awaitReady();
        return node;
    }

    /** Started, and perhaps not ready yet: several start side by side. */
    public static NodeProcess launched(
            Path jar, ObjectNode config, Path folder, String name, int memoryMb, Extras extras) throws IOException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(config));
        NodeProcess node = new NodeProcess(
                jar,
                file,
                folder.resolve(name + ".log"),
                memoryMb,
                config.get("listen").asText(),
                extras);
        node.launch();
        return node;
    }

    /** Starts the process again after it has ended; it need not be ready yet. */
    public void launch() throws IOException {
        launch(List.of());
    }

    /** The same with further options of the JVM, for this start only. */
    public void launch(List<String> options) throws IOException {
        int heapMb = Math.max(10, Math.min(48, (memoryMb - 48) / 2));
        List<String> command = new ArrayList<>(List.of(
                "sh",
                "-c",
                "\"$@\" </dev/null >>\"$LOG\" 2>&1 & echo $!; cat >/dev/null; kill -9 $! 2>/dev/null",
                "node",
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC",
                "-XX:TieredStopAtLevel=1",
                "-Xms" + heapMb + "m",
                "-Xmx" + heapMb + "m",
                "-Xss512k",
                "-XX:MaxDirectMemorySize=12m",
                "-XX:MaxMetaspaceSize=40m",
                "-XX:ReservedCodeCacheSize=16m"));
        StringBuilder path = new StringBuilder(jar.toString());
        if (extras.members() != null) {
            path.append(':')
                    .append(jar.resolveSibling("../../dns/target/spartrail-dns.jar")
                            .normalize());
        }
        if (extras.peers() != null) {
            path.append(':')
                    .append(jar.resolveSibling("../../peers/target/spartrail-peers.jar")
                            .normalize());
        }
        if (extras.state() != null) {
            path.append(':')
                    .append(jar.resolveSibling("../../policy/target/spartrail-policy.jar")
                            .normalize());
        }
        command.addAll(options);
        if (extras.state() != null && options.isEmpty()) {
            command.add("-D" + CrashPoint.ENABLING_PROPERTY + "=true");
        }
        command.addAll(List.of("-cp", path.toString(), "spartrail.Main", "serve", "--config", config.toString()));
        option(command, "--members", extras.members());
        option(command, "--peers", extras.peers());
        option(command, "--history", extras.history());
        option(command, "--state", extras.state());
        // A record is of one life of a process.
        option(
                command,
                "--record",
                extras.record() == null
                        ? null
                        : extras.record().resolveSibling(extras.record().getFileName() + "." + starts));
        starts++;
        if (guard != null) {
            guard.outputWriter().close();
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG", log.toString());
        guard = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
        String pid = guard.inputReader().readLine();
        handle = pid == null
                ? guard.toHandle()
                : ProcessHandle.of(Long.parseLong(pid)).orElse(guard.toHandle());
    }

    private static void option(List<String> command, String name, Path file) {
        if (file != null) {
            command.addAll(List.of(name, file.toString()));
        }
    }

    public void awaitReady() throws IOException, InterruptedException {
        long untilNs = System.nanoTime() + (long) (READY_MS * 1e6);
        while (!up()) {
            if (!handle.isAlive()) {
                throw new IOException("the front node ended at its start: "
                        + Files.readString(log)
                                .lines()
                                .reduce((first, second) -> second)
                                .orElse("it said nothing"));
            }
            if (System.nanoTime() > untilNs) {
                handle.destroyForcibly();
                throw new IOException("the front node was not ready within " + READY_MS / 1000 + " s, see " + log);
            }
            Thread.sleep(20);
        }
    }

    private boolean up() throws IOException {
        try {
            HttpURLConnection connection = (HttpURLConnection)
                    URI.create("http://" + address + "/up").toURL().openConnection();
            connection.setConnectTimeout(500);
            connection.setReadTimeout(1000);
            return connection.getResponseCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    public String address() {
        return address;
    }

    public ProcessHandle handle() {
        return handle;
    }

    /** Killed outright, as a machine that is lost. */
    public void kill() throws InterruptedException {
        cpuBeforeMs = cpuMs();
        handle.destroyForcibly();
        awaitEnd(10);
    }

    /** Asks it to end; it drains first. */
    public void terminate() {
        handle.destroy();
    }

    /** Reads its configuration again. */
    public void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(handle.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    /** The file of its configuration, which it reads at each start and when asked to. */
    public Path config() {
        return config;
    }

    /** It stands still as a machine does that is out of breath, until it goes on. */
    public void stop(boolean stands) throws IOException, InterruptedException {
        new ProcessBuilder("kill", stands ? "-STOP" : "-CONT", Long.toString(handle.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    /** Whether it has ended within so many seconds. */
    public boolean awaitEnd(double seconds) throws InterruptedException {
        try {
            handle.onExit().get(Math.round(1000 * seconds), TimeUnit.MILLISECONDS);
            return true;
        } catch (TimeoutException e) {
            return false;
        } catch (ExecutionException e) {
            return !handle.isAlive();
        }
    }

    public void restart() throws IOException, InterruptedException {
        launch();
        awaitReady();
    }

    /** CPU used so far, in milliseconds. */
    public double cpuMs() {
        return cpuBeforeMs
                + handle.info()
                        .totalCpuDuration()
                        .map(time -> time.toNanos() / 1e6)
                        .orElse(0.0);
    }

    /** Memory held, in megabytes, where the system tells; else 0. */
    public double memoryMb() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(handle.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS:"))
                    .findFirst()
                    .map(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024)
                    .orElse(0.0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Asks it to end and waits; kills it where it does not. */
    @Override
    public void close() {
        handle.destroy();
        try {
            if (!awaitEnd(15)) {
                handle.destroyForcibly();
                awaitEnd(5);
            }
            guard.outputWriter().close();
        } catch (InterruptedException e) {
            handle.destroyForcibly();
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The guard is gone already.
        }
    }
}

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

/** A front node as a process of its own, started with the JVM options and sizes that operators use. */
public final class NodeProcess implements AutoCloseable {
    private static final double READY_MS = 30_000;
    private static final int FIRST_PORT = 12_000;
    private static final int PORT_COUNT = 20_000;
    private static final int MAX_PORT_ATTEMPTS = 1000;

    private final Path jar;
    private final Path config;
    private final Path log;
    private final int memoryMb;
    private final String address;
    private final Extras extras;
    /**
     * The shell that starts the node. It reads its standard input to the end and then kills the node: the input also
     * ends if this process crashes or is killed.
     */
    private Process shell;

    private ProcessHandle handle;
    private int starts;
    /** Processor time of earlier processes of this node that {@link #kill} ended. */
    private double cpuBeforeMs;

    /** Files that a node is started with besides its configuration; null for options that are not given. */
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

    /** The front node's jar of this build. */
    public static Path ownJar() {
        String root = System.getenv("SPARTRAIL_ROOT");
        Path jar = Path.of(root == null ? "." : root, "node", "target", "spartrail.jar");
        if (!Files.isReadable(jar)) {
            throw new InvalidInputException(jar + ": cannot be read; build it with: mvn -q -DskipTests package");
        }
        return jar.toAbsolutePath();
    }

    /**
     * Finds a port that is free now for TCP and UDP. It is below the ephemeral range: the system could give a port of
     * that range to a connecting socket while the node is down.
     */
    public static int freePort() throws IOException {
        for (int i = 0; i < MAX_PORT_ATTEMPTS; i++) {
            int port = FIRST_PORT + ThreadLocalRandom.current().nextInt(PORT_COUNT);
            try (ServerSocket tcp = new ServerSocket(port, 1, InetAddress.getByName("127.0.0.1"));
                    DatagramSocket udp =
                            new DatagramSocket(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), port))) {
                return port;
            } catch (BindException e) {
                // The port is in use; the next attempt draws another one.
            }
        }
        throw new IOException("no free port found in " + MAX_PORT_ATTEMPTS + " attempts between " + FIRST_PORT + " and "
                + (FIRST_PORT + PORT_COUNT - 1));
    }

    /** Starts a node and waits until it is ready. */
    public static NodeProcess start(Path jar, ObjectNode config, Path folder, String name, int memoryMb)
            throws IOException, InterruptedException {
        NodeProcess node = launched(jar, config, folder, name, memoryMb, Extras.NONE);
        node.awaitReady();
        return node;
    }

    /** Starts a node with a members file, by which it also finds servers through DNS, and waits until it is ready. */
    public static NodeProcess start(Path jar, ObjectNode config, Path folder, String name, int memoryMb, Path members)
            throws IOException, InterruptedException {
        NodeProcess node = launched(jar, config, folder, name, memoryMb, new Extras(members, null, null, null, null));
        node.awaitReady();
        return node;
    }

    /** Starts a node without waiting until it is ready, so that several nodes can start at the same time. */
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

    /** Starts the process, also again after it has ended, without waiting until it is ready. */
    public void launch() throws IOException {
        launch(List.of());
    }

    /** Starts the process with further JVM options, for this start only; see {@link #launch()}. */
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
        StringBuilder classPath = new StringBuilder(jar.toString());
        if (extras.members() != null) {
            classPath
                    .append(':')
                    .append(jar.resolveSibling("../../dns/target/spartrail-dns.jar")
                            .normalize());
        }
        if (extras.peers() != null) {
            classPath
                    .append(':')
                    .append(jar.resolveSibling("../../peers/target/spartrail-peers.jar")
                            .normalize());
        }
        if (extras.state() != null) {
            classPath
                    .append(':')
                    .append(jar.resolveSibling("../../policy/target/spartrail-policy.jar")
                            .normalize());
        }
        command.addAll(options);
        if (extras.state() != null && options.isEmpty()) {
            command.add("-D" + CrashPoint.ENABLING_PROPERTY + "=true");
        }
        command.addAll(List.of("-cp", classPath.toString(), "spartrail.Main", "serve", "--config", config.toString()));
        addOption(command, "--members", extras.members());
        addOption(command, "--peers", extras.peers());
        addOption(command, "--history", extras.history());
        addOption(command, "--state", extras.state());
        // Each start writes a record file of its own, named by the number of the start.
        addOption(
                command,
                "--record",
                extras.record() == null
                        ? null
                        : extras.record().resolveSibling(extras.record().getFileName() + "." + starts));
        starts++;
        if (shell != null) {
            shell.outputWriter().close();
        }
        ProcessBuilder builder = new ProcessBuilder(command);
        builder.environment().put("LOG", log.toString());
        shell = builder.redirectError(ProcessBuilder.Redirect.DISCARD).start();
        String pid = shell.inputReader().readLine();
        handle = pid == null
                ? shell.toHandle()
                : ProcessHandle.of(Long.parseLong(pid)).orElse(shell.toHandle());
    }

    private static void addOption(List<String> command, String name, Path file) {
        if (file != null) {
            command.addAll(List.of(name, file.toString()));
        }
    }

    /** Waits until the node answers requests; fails if its process ends or is not ready within 30 s. */
    public void awaitReady() throws IOException, InterruptedException {
        long deadlineNs = System.nanoTime() + (long) (READY_MS * 1e6);
        while (!isUp()) {
            if (!handle.isAlive()) {
                throw new IOException("the front node ended before it was ready; last line of its log: "
                        + Files.readString(log)
                                .lines()
                                .reduce((first, second) -> second)
                                .orElse("(the log is empty)"));
            }
            if (System.nanoTime() > deadlineNs) {
                handle.destroyForcibly();
                throw new IOException("the front node was not ready within " + READY_MS / 1000
                        + " s and was killed; see its log " + log);
            }
            Thread.sleep(20);
        }
    }

    private boolean isUp() throws IOException {
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

    /** Kills the process without a drain, as the loss of its machine would. */
    public void kill() throws InterruptedException {
        cpuBeforeMs = cpuMs();
        handle.destroyForcibly();
        awaitEnd(10);
    }

    /** Sends SIGTERM; the node drains and then ends. */
    public void terminate() {
        handle.destroy();
    }

    /** Sends SIGHUP; the node reads its configuration again. */
    public void hangUp() throws IOException, InterruptedException {
        new ProcessBuilder("kill", "-HUP", Long.toString(handle.pid())).start().waitFor(5, TimeUnit.SECONDS);
    }

    /** The node's configuration file, which it reads at each start and on {@link #hangUp}. */
    public Path config() {
        return config;
    }

    /** Suspends the process, as an overloaded machine would, or resumes it if {@code suspended} is false. */
    public void stop(boolean suspended) throws IOException, InterruptedException {
        new ProcessBuilder("kill", suspended ? "-STOP" : "-CONT", Long.toString(handle.pid()))
                .start()
                .waitFor(5, TimeUnit.SECONDS);
    }

    /** Waits up to {@code seconds} for the end of the process; returns whether it has ended. */
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

    /** Starts the process again after it has ended and waits until it is ready. */
    public void restart() throws IOException, InterruptedException {
        launch();
        awaitReady();
    }

    /** Processor time used so far, in milliseconds. */
    public double cpuMs() {
        return cpuBeforeMs
                + handle.info()
                        .totalCpuDuration()
                        .map(time -> time.toNanos() / 1e6)
                        .orElse(0.0);
    }

    /** Resident memory in megabytes; 0 if the system does not report it. */
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

    /** Sends SIGTERM and waits up to 15 s; kills the process if it has not ended by then. */
    @Override
    public void close() {
        handle.destroy();
        try {
            if (!awaitEnd(15)) {
                handle.destroyForcibly();
                awaitEnd(5);
            }
            shell.outputWriter().close();
        } catch (InterruptedException e) {
            handle.destroyForcibly();
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // The shell has ended already.
        }
    }
}

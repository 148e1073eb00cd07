package spartrail.lab.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import spartrail.lab.file.BadInput;
import spartrail.lab.file.Document;

/** A front node as a process of its own, sized as operators start it. */
public final class NodeProcess implements AutoCloseable {
    private static final double READY_MS = 30_000;

    private final Path jar;
    private final Path config;
    private final Path log;
    private final int memoryMb;
    private final String address;
    private Process process;
    /** CPU of processes of this node that have ended. */
    private double cpuBeforeMs;

    private final Path members;

    private NodeProcess(Path jar, Path config, Path log, int memoryMb, String address, Path members) {
        this.jar = jar;
        this.config = config;
        this.log = log;
        this.memoryMb = memoryMb;
        this.address = address;
        this.members = members;
    }

    /** The jar of this version. */
    public static Path ownJar() {
        String root = System.getenv("SPARTRAIL_ROOT");
        Path jar = Path.of(root == null ? "." : root, "node", "target", "spartrail.jar");
        if (!Files.isReadable(jar)) {
            throw new BadInput(jar + ": is not there; build it with: mvn -q -DskipTests package");
        }
        return jar.toAbsolutePath();
    }

    /** A port that is free now. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    public static NodeProcess start(Path jar, ObjectNode config, Path folder, String name, int memoryMb)
            throws IOException, InterruptedException {
        return start(jar, config, folder, name, memoryMb, null);
    }

    /** With a members' file: servers come from DNS, too. */
    public static NodeProcess start(Path jar, ObjectNode config, Path folder, String name, int memoryMb, Path members)
            throws IOException, InterruptedException {
        Path file = folder.resolve(name + ".json");
        Files.writeString(file, Document.JSON.writerWithDefaultPrettyPrinter().writeValueAsString(config));
        NodeProcess node = new NodeProcess(jar, file, folder.resolve(name + ".log"), memoryMb,
                config.get("listen").asText(), members);
        node.launch();
        node.awaitReady();
        return node;
    }

    private void launch() throws IOException {
        int heapMb = Math.max(10, Math.min(48, (memoryMb - 48) / 2));
        ProcessBuilder builder = new ProcessBuilder(new java.util.ArrayList<>());
        builder.command().addAll(List.of(Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-XX:+UseSerialGC", "-XX:TieredStopAtLevel=1", "-Xms" + heapMb + "m", "-Xmx" + heapMb + "m", "-Xss512k",
                "-XX:MaxDirectMemorySize=12m", "-XX:MaxMetaspaceSize=40m", "-XX:ReservedCodeCacheSize=16m"));
        if (members == null) {
            builder.command().addAll(List.of("-jar", jar.toString(), "serve", "--config", config.toString()));
        } else {
            Path dns = jar.resolveSibling("../../dns/target/spartrail-dns.jar").normalize();
            builder.command().addAll(List.of("-cp", jar + ":" + dns, "spartrail.Main", "serve", "--config", config.toString(),
                    "--members", members.toString()));
        }
        builder.redirectErrorStream(true).redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
        process = builder.start();
    }

    private void awaitReady() throws IOException, InterruptedException {
        long untilNs = System.nanoTime() + (long) (READY_MS * 1e6);
        while (!up()) {
            if (!process.isAlive()) {
                throw new IOException("the front node ended at its start: " + Files.readString(log).lines()
                        .reduce((first, second) -> second).orElse("it said nothing"));
            }
            if (System.nanoTime() > untilNs) {
                process.destroyForcibly();
                throw new IOException("the front node was not ready within " + READY_MS / 1000 + " s, see " + log);
            }
            Thread.sleep(20);
        }
    }

    private boolean up() throws IOException {
        try {
            HttpURLConnection connection = (HttpURLConnection) URI.create("http://" + address + "/up").toURL()
                    .openConnection();
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
        return process.toHandle();
    }

    /** Killed outright, as a machine that is lost. */
    public void kill() throws InterruptedException {
        cpuBeforeMs = cpuMs();
        process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    public void restart() throws IOException, InterruptedException {
        launch();
        awaitReady();
    }

    /** CPU used so far, in milliseconds. */
    public double cpuMs() {
        return cpuBeforeMs + process.toHandle().info().totalCpuDuration().map(time -> time.toNanos() / 1e6).orElse(0.0);
    }

    /** Memory held, in megabytes, where the system tells; else 0. */
    public double memoryMb() {
        try {
            return Files.readAllLines(Path.of("/proc", Long.toString(process.pid()), "status")).stream()
                    .filter(line -> line.startsWith("VmRSS:")).findFirst()
                    .map(line -> Double.parseDouble(line.replaceAll("[^0-9]", "")) / 1024).orElse(0.0);
        } catch (IOException e) {
            return 0;
        }
    }

    /** Asks it to end and waits; kills it where it does not. */
    @Override
    public void close() {
        process.destroy();
        try {
            if (!process.waitFor(15, TimeUnit.SECONDS)) {
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            process.destroyForcibly();
            Thread.currentThread().interrupt();
        }
    }
}

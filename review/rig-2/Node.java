import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/** A front node, started by the command of the deploy file in a process of its own. */
final class Node implements AutoCloseable {
    final String name;
    final int port;
    final Path config;
    private final Record record;
    private final Path folder;
    private Process process;

    Node(String name, Path folder, Record record) throws IOException {
        this.name = name;
        this.folder = folder;
        this.record = record;
        this.config = folder.resolve(name + ".json");
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = free.getLocalPort();
        }
    }

    /** Writes the configuration, replacing the file as a whole. */
    void configure(int discoveryPort, int memoryMb, String known, String settings) throws IOException {
        String text = "{\"name\":\"" + name + "\",\"listen\":\"127.0.0.1:" + port + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort + "\",\"seed\":\"8c1f30d27a5be964\",\n \"limits\":{\"cores\":1.0,\"memory_mb\":"
                + memoryMb + ",\"sockets\":1024},\n \"known\":" + known + ",\n \"settings\":" + settings + "}\n";
        Path next = folder.resolve(name + ".next");
        Files.writeString(next, text);
        Files.move(next, config, java.nio.file.StandardCopyOption.REPLACE_EXISTING);
    }

    /** Starts the process, and waits until it is ready. */
    void start() throws IOException, InterruptedException {
        ProcessBuilder builder = new ProcessBuilder("sh", "-c", "exec sh deploy/run.sh");
        builder.environment().put("BALANCER_NAME", name);
        builder.environment().put("BALANCER_CONFIG", config.toString());
        builder.environment().put("TMPDIR", folder.toString());
        builder.redirectErrorStream(true);
        builder.redirectOutput(ProcessBuilder.Redirect.appendTo(folder.resolve(name + ".log").toFile()));
        process = builder.start();
        Rig.started(process);
        record.add("%s started", name);
        double untilMs = Record.nowMs() + 30_000;
        while (Record.nowMs() < untilMs && process.isAlive()) {
            try (Client client = new Client(port)) {
                if (client.get("/up").status() == 200) {
                    record.add("%s is ready", name);
                    return;
                }
            }
            Thread.sleep(50);
        }
        throw new IOException(name + " did not get ready: " + log());
    }

    String log() throws IOException {
        return Files.readString(folder.resolve(name + ".log"));
    }

    boolean isAlive() {
        return process.isAlive();
    }

    int exitCode() {
        return process.exitValue();
    }

    /** Sends a signal: HUP, TERM, STOP, CONT or KILL. */
    void signal(String signal) throws IOException, InterruptedException {
        record.add("%s gets SIG%s", name, signal);
        new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    @Override
    public void close() {
        if (process != null) {
            process.destroyForcibly();
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
    }
}

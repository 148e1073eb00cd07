package spartrail.cli;

import java.io.IOException;

/** Limits a process to a share of each period: a shell suspends it for the rest. */
final class ProcessThrottle implements AutoCloseable {
    private static final double PERIOD_SECONDS = 0.1;

    private final long pid;
    private final Process shell;

    ProcessThrottle(long pid, double share) throws IOException {
        this.pid = pid;
        shell = new ProcessBuilder(
                        "sh",
                        "-c",
                        "while kill -CONT $0 2> /dev/null && sleep $1 && kill -STOP $0 2> /dev/null && sleep $2; do :; done",
                        String.valueOf(pid),
                        String.valueOf(PERIOD_SECONDS * share),
                        String.valueOf(PERIOD_SECONDS * (1 - share)))
                .start();
    }

    @Override
    public String toString() {
        return "process " + pid + " throttled";
    }

    @Override
    public void close() throws IOException, InterruptedException {
        shell.destroy();
        shell.waitFor();
        new ProcessBuilder("kill", "-CONT", String.valueOf(pid)).start().waitFor();
    }
}

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** What all cases share: their threads, processes, folder and time limit, and the exit status. */
final class Rig {
    /** Whether the disruption takes place; false with TROUBLE=0. */
    static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    static final int HELD = 0;
    static final int BROKEN = 1;
    static final int COULD_NOT_RUN = 2;
    private static final long TIME_LIMIT_MS = 115_000;
    private static final List<Process> PROCESSES = new ArrayList<>();

    private Rig() {}

    /** The steps of a case; its result is the exit status. */
    interface Case {
        int run(Path folder, Record record) throws Exception;
    }

    static Thread thread(String name, Runnable task) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    static synchronized void started(Process process) {
        PROCESSES.add(process);
    }

    private static synchronized void endProcesses() {
        PROCESSES.forEach(Process::destroyForcibly);
    }

    /** Runs a case in a temporary folder, and exits. */
    static void main(Path recordFile, Case steps) throws Exception {
        Runtime.getRuntime().addShutdownHook(new Thread(Rig::endProcesses));
        Path folder = Files.createTempDirectory("case");
        int status = COULD_NOT_RUN;
        Record record = new Record(recordFile);
        thread("time-limit", () -> {
            sleep(TIME_LIMIT_MS);
            record.say("the time of the case is over");
            record.close();
            endProcesses();
            Runtime.getRuntime().halt(COULD_NOT_RUN);
        });
        try {
            status = steps.run(folder, record);
        } catch (Exception e) {
            record.say("the case could not run: %s", e);
            e.printStackTrace();
        }
        record.say(status == HELD ? "the rule held" : status == BROKEN ? "the rule was broken" : "no result");
        endProcesses();
        record.close();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            System.out.println("the temporary folder is left: " + e.getMessage());
        }
        Runtime.getRuntime().halt(status);
    }

    static void sleep(double ms) {
        try {
            Thread.sleep(Math.max(0, Math.round(ms)));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}

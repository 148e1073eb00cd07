import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The file record.txt of a case: what was sent, answered and run, with the time in milliseconds since the start. */
final class Record implements AutoCloseable {
    private static final long START_NS = System.nanoTime();
    private final PrintWriter file;

    Record(Path path) throws IOException {
        file = new PrintWriter(Files.newBufferedWriter(path));
    }

    /** The time since the start in milliseconds. */
    static double nowMs() {
        return (System.nanoTime() - START_NS) / 1e6;
    }

    synchronized void add(String format, Object... values) {
        file.printf(Locale.ROOT, "%10.1f  %s%n", nowMs(), String.format(Locale.ROOT, format, values));
    }

    /** Adds a line, and prints it. */
    void say(String format, Object... values) {
        add(format, values);
        System.out.println(String.format(Locale.ROOT, format, values));
    }

    @Override
    public synchronized void close() {
        file.close();
    }
}

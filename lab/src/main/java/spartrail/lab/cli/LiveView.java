package spartrail.lab.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.util.List;
import java.util.Locale;
import java.util.function.Supplier;
import org.jline.terminal.Size;
import org.jline.terminal.Terminal;
import org.jline.terminal.TerminalBuilder;
import org.jline.utils.AttributedString;
import org.jline.utils.Display;
import spartrail.lab.load.LoadSession;

/** Progress of a load run: redrawn in place on a terminal, otherwise printed as one line every ten seconds. */
final class LiveView implements AutoCloseable {
    private static final double PLAIN_INTERVAL_MS = 10_000;

    private final PrintStream err;
    private final Supplier<List<String>> extraLines;
    private Terminal terminal;
    private Display display;
    private double lastPlainMs;

    /** On a terminal, each redraw calls {@code extraLines} for lines to show below the progress, such as rules. */
    LiveView(PrintStream err, Supplier<List<String>> extraLines) {
        this.err = err;
        this.extraLines = extraLines;
        if (System.console() != null) {
            try {
                terminal = TerminalBuilder.builder()
                        .system(true)
                        .nativeSignals(false)
                        .build();
                if (!Terminal.TYPE_DUMB.equals(terminal.getType())
                        && !Terminal.TYPE_DUMB_COLOR.equals(terminal.getType())) {
                    display = new Display(terminal, false);
                }
            } catch (IOException e) {
                terminal = null;
            }
        }
    }

    void show(LoadSession.Snapshot snapshot) {
        String durationS =
                Double.isNaN(snapshot.lastsMs()) ? "?" : Long.toString(Math.round(snapshot.lastsMs() / 1000));
        String line = String.format(
                Locale.ROOT,
                "%6.1f of %s s  %d attempts (%.0f/s)  %d in flight on %d connections"
                        + "  p50 %.1f p99 %.1f ms  generator lag p99 %.3f ms",
                snapshot.ms() / 1000,
                durationS,
                snapshot.tries(),
                snapshot.tries() * 1000 / Math.max(1, snapshot.ms()),
                snapshot.inFlight(),
                snapshot.connections(),
                snapshot.p50Ms(),
                snapshot.p99Ms(),
                snapshot.lagP99Ms());
        if (display != null) {
            Size size = terminal.getSize();
            display.resize(Math.max(6, size.getRows()), Math.max(40, size.getColumns()));
            List<AttributedString> lines = new java.util.ArrayList<>();
            lines.add(new AttributedString(line));
            lines.add(new AttributedString(snapshot.kinds().toString()));
            extraLines.get().forEach(text -> lines.add(new AttributedString(text)));
            display.update(lines, 0);
        } else if (snapshot.ms() >= lastPlainMs + PLAIN_INTERVAL_MS) {
            lastPlainMs = snapshot.ms();
            err.println(line + "  " + snapshot.kinds());
        }
    }

    @Override
    public void close() throws IOException {
        if (terminal != null) {
            if (display != null) {
                display.update(List.of(), 0);
            }
            terminal.close();
        }
    }
}

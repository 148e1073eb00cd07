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

/** What a run looks like while it goes: redrawn on a terminal, a line in ten seconds elsewhere. */
final class LiveView implements AutoCloseable {
    private static final double PLAIN_EVERY_MS = 10_000;

    private final PrintStream err;
    private final Supplier<List<String>> more;
    private Terminal terminal;
    private Display display;
    private double plainMs;

    /** The further lines are asked each time: rules, say. */
    LiveView(PrintStream err, Supplier<List<String>> more) {
        this.err = err;
        this.more = more;
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
        String lasts = Double.isNaN(snapshot.lastsMs()) ? "?" : Long.toString(Math.round(snapshot.lastsMs() / 1000));
        String line = String.format(
                Locale.ROOT,
                "%6.1f of %s s  %d tries (%.0f a second)  %d in flight on %d connections"
                        + "  p50 %.1f p99 %.1f ms  own lag p99 %.3f ms",
                snapshot.ms() / 1000,
                lasts,
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
            more.get().forEach(text -> lines.add(new AttributedString(text)));
            display.update(lines, 0);
        } else if (snapshot.ms() >= plainMs + PLAIN_EVERY_MS) {
            plainMs = snapshot.ms();
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

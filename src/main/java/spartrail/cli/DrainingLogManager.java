package spartrail.cli;

import java.util.logging.LogManager;

/** Keeps the log open while a node drains; the JDK's own closes it as soon as the process is told to end. */
public final class DrainingLogManager extends LogManager {
    /** Installs it, with one line an entry, for a program that logs nothing before. */
    static void install() {
        System.setProperty("java.util.logging.manager", DrainingLogManager.class.getName());
        System.setProperty("java.util.logging.SimpleFormatter.format", "%1$tF %1$tT.%1$tL %4$s %3$s: %5$s%6$s%n");
    }

    @Override
    public void reset() {
        // Nothing is to be closed: the log's only outlet is the standard error stream.
    }
}

package spartrail.cli;

import java.util.logging.LogManager;

/** Keeps the log open while a node drains; the JDK's log manager closes it as soon as the JVM begins to shut down. */
public final class DrainingLogManager extends LogManager {
    @Override
    public void reset() {
        // Nothing needs to be closed, as the log is written only to the standard error stream.
    }
}

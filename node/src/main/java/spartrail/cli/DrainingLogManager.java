package spartrail.cli;

import java.util.logging.LogManager;

/** Keeps the log open while a node drains; the JDK's own log manager closes it at the beginning of the shutdown. */
public final class DrainingLogManager extends LogManager {
    @Override
    public void reset() {
        // Nothing is to be closed: the log's only outlet is the standard error stream.
    }
}

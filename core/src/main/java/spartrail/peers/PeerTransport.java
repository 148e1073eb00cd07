package spartrail.peers;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/**
 * Exchanges messages with other nodes. Found by the service loader, and on the class path only where an installation switches
 * it on; else nothing of it is loaded.
 */
public interface PeerTransport {
    /**
     * Reads and checks a peers' file.
     *
     * @throws IllegalArgumentException which says in one line what is wrong with it
     */
    void check(Path file);

    /**
     * Starts on a thread of its own, on which each new view is handed over.
     *
     * @param history where a JSON line is written for each change of the view; null for nowhere
     * @param maxHistoryBytes the history ends at so many bytes
     * @param channels subsystems whose messages travel along
     */
    Running start(
            Path file, Path history, long maxHistoryBytes, Consumer<MembershipView> views, List<PeerChannel> channels)
            throws IOException;

    /** A transport that has started. */
    interface Running extends AutoCloseable {
        /**
         * Takes a changed file, as far as it may change while the node runs.
         *
         * @return what waits for the next start, in words for operators; empty where nothing does
         */
        String reload(Path file);

        /** Tells others at once that this node ends. */
        void leave();

        @Override
        void close();
    }
}

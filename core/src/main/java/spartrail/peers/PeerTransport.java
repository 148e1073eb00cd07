package spartrail.peers;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/**
 * Exchanges gossip messages with other nodes. Implementations are found by the service loader. They are on the class
 * path only if an installation enables gossip; otherwise none of their classes are loaded.
 */
public interface PeerTransport {
    /**
     * Reads and validates a peers file.
     *
     * @throws IllegalArgumentException if the file is invalid; the message describes the error in one line
     */
    void check(Path file);

    /**
     * Starts the transport on its own thread.
     *
     * @param history file to which a JSON line is appended for each change of the view; null for none
     * @param maxHistoryBytes number of bytes after which no more lines are written to the history file
     * @param views receives each changed view, on the transport's thread
     * @param channels subsystems that exchange their messages over the same socket
     */
    Running start(
            Path file, Path history, long maxHistoryBytes, Consumer<MembershipView> views, List<PeerChannel> channels)
            throws IOException;

    /** A started transport. */
    interface Running extends AutoCloseable {
        /**
         * Reloads the peers file and applies the settings that may change while the node runs.
         *
         * @return which changed settings take effect only after a restart, as a text for operators; empty if none do
         */
        String reload(Path file);

        /** Announces at once to other nodes that this node leaves. */
        void leave();

        @Override
        void close();
    }
}

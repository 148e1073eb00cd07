package spartrail.peers;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.function.Consumer;

/**
 * How a node talks to others, found by the service loader; on the class path only where it is asked for. Nothing of it is
 * loaded else.
 */
public interface PeerTransport {
    /** Reads and checks a peers' file; an IllegalArgumentException says in one line what is wrong with it. */
    void check(Path file);

    /**
     * Begins to talk on a thread of its own. Each new view is handed over on that thread.
     *
     * @param history where a JSON line is written for each change of the view, bounded; null for nowhere
     * @param historyBytes it ends at so many bytes
     * @param lanes whose messages travel along
     */
    Running start(Path file, Path history, long historyBytes, Consumer<MembershipView> views, List<PeerChannel> lanes)
            throws IOException;

    /** Talk that has begun. */
    interface Running extends AutoCloseable {
        /** Goes on by a changed file, as far as it may change while it runs; the rest is told and waits for the next start. */
        String reload(Path file);

        /** Tells others at once that this node ends. */
        void leave();

        @Override
        void close();
    }
}

package spartrail.policy;

import java.io.IOException;
import java.nio.file.Path;
import spartrail.peers.PeerChannel;

/** Takes part in policy versions. Found by the service loader, and on the class path only of nodes that use it. */
public interface PolicyService {
    /**
     * Starts the service on its own thread.
     *
     * @param state the folder of a voter's persistent state
     */
    Running start(Path state, Host host) throws IOException;

    /** The node that the service runs in. Called on the service's threads; no method may block for long. */
    interface Host {
        /** The time on the clock that the node's decisions use. */
        double nowMs();

        /** The part of the node's local settings that policy may change. */
        PolicySettings localSettings();

        /** Tries settings out apart from all requests that are served; why the node cannot apply them, or empty. */
        String dryRun(PolicySettings settings);

        /** Applies this lease from now on. */
        void apply(PolicyLease lease);
    }

    /** A started service. */
    interface Running extends PeerChannel, AutoCloseable {
        /** Replaces the node's local settings. */
        void updateLocalSettings(PolicySettings changed);

        /** Waits until the node has its first lease. */
        void awaitFirstLease() throws InterruptedException;

        @Override
        void close();
    }
}

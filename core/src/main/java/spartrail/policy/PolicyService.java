package spartrail.policy;

import java.io.IOException;
import java.nio.file.Path;
import spartrail.peers.PeerChannel;

/** How a node takes part in versions of policy, found by the service loader; on the class path only where it is asked for. */
public interface PolicyService {
    /**
     * Begins to take part on a thread of its own.
     *
     * @param state the folder of what a voter must not forget
     */
    Running start(Path state, Host host) throws IOException;

    /** What it needs of the node. Called on its thread; none of these may wait for long. */
    interface Host {
        /** The clock by which the node decides. */
        double nowMs();

        /** The part of the node's local settings that policy may change. */
        PolicySettings localSettings();

        /** Tries settings out apart from all that is served; why the node cannot apply them, or empty. */
        String dryRun(PolicySettings settings);

        /** The node goes by this lease from now on. */
        void apply(PolicyLease lease);
    }

    /** A part that has begun. */
    interface Running extends PeerChannel, AutoCloseable {
        /** The node's local settings are others now. */
        void updateLocalSettings(PolicySettings changed);

        /** Waits until the node knows by what to decide. */
        void awaitFirstLease() throws InterruptedException;

        @Override
        void close();
    }
}

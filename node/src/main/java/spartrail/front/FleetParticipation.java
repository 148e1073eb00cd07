package spartrail.front;

import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.ServiceLoader;
import spartrail.config.DeploymentFile;
import spartrail.endpoint.EndpointList;
import spartrail.model.NodeClock;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerTransport;

/**
 * The node's part in its fleet, where it is asked for: gossip with the other front nodes, and policy versions on top of it. Nothing of
 * it is loaded otherwise.
 */
final class FleetParticipation {
    private final Path peersFile;
    /** Null where no history is kept. */
    private final Path historyFile;

    private final long historyMaxBytes;
    /** Null where the node goes by its own settings only. */
    private Path stateDirectory;

    private PeerTransport.Running transport;
    private PolicyHost policyHost;

    FleetParticipation(Path peersFile, Path historyFile, long historyMaxBytes) {
        loadTransport().check(peersFile);
        this.peersFile = peersFile;
        this.historyFile = historyFile;
        this.historyMaxBytes = historyMaxBytes;
    }

    /** The transport on the class path, found by the service loader. */
    static PeerTransport loadTransport() {
        return ServiceLoader.load(PeerTransport.class)
                .findFirst()
                .orElseThrow(
                        () -> new IllegalArgumentException(
                                "--peers is given, but no jar on the class path talks to other nodes; bin/spartrail puts it there"));
    }

    /** Before the start: the node also goes by policy versions, and keeps what it must not forget in this directory. */
    void enablePolicy(Path directory) {
        PolicyHost.loadPolicyService();
        stateDirectory = directory;
    }

    /** Before the warm-up: with policy, gossip starts now, as the first lease comes by it. */
    void startPolicy(DeploymentFile deployment, NodeClock clock, CoordinatorLoop loop, EndpointList usedEndpoints)
            throws IOException {
        if (stateDirectory != null) {
            policyHost = new PolicyHost(deployment, clock, loop, usedEndpoints);
            startTransport(loop, List.of(policyHost.start(stateDirectory)));
        }
    }

    /** Waits for the first lease, or a node that comes back would decide by what held before it went. */
    void awaitFirstLease() throws IOException {
        if (policyHost != null) {
            policyHost.awaitFirstLease();
        }
    }

    /** When the node is ready: without policy, gossip starts now. */
    void startGossip(CoordinatorLoop loop) throws IOException {
        if (transport == null) {
            startTransport(loop, PeerChannel.NONE);
        }
    }

    private void startTransport(CoordinatorLoop loop, List<PeerChannel> channels) throws IOException {
        transport = loadTransport()
                .start(
                        peersFile,
                        historyFile,
                        historyMaxBytes,
                        view -> loop.setFleetView(view.toFleetView()),
                        channels);
    }

    /** Before a new configuration is taken: an unusable peers' file changes nothing. */
    void checkPeersFile() {
        if (transport != null) {
            loadTransport().check(peersFile);
        }
    }

    /** Whether policy decides when changed settings hold; it has them from here on. */
    boolean applyToPolicy(DeploymentFile changed) {
        if (policyHost != null) {
            policyHost.setOwnDeployment(changed);
        }
        return policyHost != null;
    }

    /** Reads the peers' file again; what of it waits for the next start, or empty. */
    String reload() {
        return transport == null ? "" : transport.reload(peersFile);
    }

    /** Tells the other nodes that this one goes. */
    void leave() {
        if (transport != null) {
            transport.leave();
        }
    }

    void close() {
        if (policyHost != null) {
            policyHost.close();
        }
        if (transport != null) {
            transport.close();
        }
    }
}

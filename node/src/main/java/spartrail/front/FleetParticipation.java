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
 * The optional communication with the other front nodes: gossip, and policy versions that are exchanged on top of it.
 * Their classes are loaded only if the node was started with these options.
 */
final class FleetParticipation {
    private final Path peersFile;
    /** Null where no history is kept. */
    private final Path historyFile;

    private final long historyMaxBytes;
    /** Null where policy versions are disabled and the node uses only its own settings. */
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
                .orElseThrow(() -> new IllegalArgumentException(
                        "--peers is given, but the class path has no implementation of PeerTransport; start the"
                                + " node with bin/spartrail, which adds its jar"));
    }

    /** Enables policy versions, before the start; their persistent state is kept in this directory. */
    void enablePolicy(Path directory) {
        PolicyHost.loadPolicyService();
        stateDirectory = directory;
    }

    /** Starts gossip before the warm-up if policy is enabled, as the first policy lease arrives by gossip. */
    void startPolicy(DeploymentFile deployment, NodeClock clock, CoordinatorLoop loop, EndpointList usedEndpoints)
            throws IOException {
        if (stateDirectory != null) {
            policyHost = new PolicyHost(deployment, clock, loop, usedEndpoints);
            startTransport(loop, List.of(policyHost.start(stateDirectory)));
        }
    }

    /**
     * Waits for the first policy lease, as a restarted node would otherwise decide by the policy of before its stop.
     */
    void awaitFirstLease() throws IOException {
        if (policyHost != null) {
            policyHost.awaitFirstLease();
        }
    }

    /** Starts gossip once the node is ready, unless {@link #startPolicy} has started it. */
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

    /** Checks the peers' file before a reload, so that an unusable file leaves the whole configuration unchanged. */
    void checkPeersFile() {
        if (transport != null) {
            loadTransport().check(peersFile);
        }
    }

    /** Passes changed settings to the policy service if that is enabled; returns whether it is, and so applies them. */
    boolean applyToPolicy(DeploymentFile changed) {
        if (policyHost != null) {
            policyHost.setOwnDeployment(changed);
        }
        return policyHost != null;
    }

    /** Reloads the peers' file; returns the changes that need a restart, or an empty string. */
    String reload() {
        return transport == null ? "" : transport.reload(peersFile);
    }

    /** Tells the other nodes that this node leaves. */
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

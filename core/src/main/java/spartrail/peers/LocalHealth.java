package spartrail.peers;

/**
 * The local health of this node, after Lifeguard (Dadgar, Phillips, Currey 2017). While a local problem makes its view
 * unreliable, it neither suspects peers nor declares suspects gone. The poorer its health, the longer its probe
 * intervals and timeouts are.
 */
final class LocalHealth {
    private static final int MAX_MULTIPLIER = 4;
    /**
     * Number of consecutive rounds without an answer from the target or a relay after which a node considers itself cut
     * off. This is shorter than a suspicion by a single node, so an isolated node does not declare others gone.
     */
    private static final int MAX_UNANSWERED_ROUNDS = 2;

    /** A node with this many present nodes or fewer, itself included, cannot tell whether it is cut off itself. */
    private static final int MAX_NODES_WITHOUT_CUT_DETECTION = 3;
    /** Number of acknowledgements that a node needs after a pause before it trusts its view again. */
    private static final int ACKS_AFTER_PAUSE = 2;

    private static final int BOOTSTRAP_ROUNDS = 30;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final NameConflict nameConflict;
    private final PauseDetector pauseDetector;
    private int multiplier;
    private int unansweredRounds;
    private int awaitedAcks;
    private double pauseMs;
    private boolean hasSeenEqualDigest;

    LocalHealth(
            MembershipContext context,
            LocalPeer local,
            PeerTable table,
            NameConflict nameConflict,
            PauseDetector pauseDetector) {
        this.context = context;
        this.local = local;
        this.table = table;
        this.nameConflict = nameConflict;
        this.pauseDetector = pauseDetector;
    }

    /** Describes for operators why this node's view is unreliable; empty if its health is good. */
    String describeProblem() {
        if (nameConflict.isNameLost()) {
            return "another process has the name, from " + nameConflict.ownerAddress();
        }
        if (isAwaitingAcksAfterPause()) {
            return "it stood still for " + Math.round(pauseMs) + " ms and has not heard again";
        }
        if (isCutOff()) {
            return "it gets no answers";
        }
        if (pauseDetector.isRunningLate()) {
            return "it runs late, by " + Math.round(pauseDetector.meanLatenessMs()) + " ms on average";
        }
        if (local.state() == PeerState.JOINING) {
            return "it has not heard from anybody yet";
        }
        return isBootstrapping() ? "it is getting to know the others" : "";
    }

    /** Whether this node may suspect peers and declare suspects gone. */
    boolean maySuspect() {
        return !nameConflict.isNameLost()
                && !isAwaitingAcksAfterPause()
                && !isCutOff()
                && !pauseDetector.isRunningLate()
                && !isBootstrapping()
                && local.state() == PeerState.ALIVE;
    }

    private boolean isCutOff() {
        return unansweredRounds >= MAX_UNANSWERED_ROUNDS && table.presentCount() > MAX_NODES_WITHOUT_CUT_DETECTION;
    }

    /** The cap covers peers that left during the pause: if all of them did, no acknowledgement will come. */
    private boolean isAwaitingAcksAfterPause() {
        return Math.min(awaitedAcks, table.presentCount() - 1) > 0;
    }

    /**
     * Whether this node has started recently and does not know all others yet. Bootstrapping takes a while when
     * hundreds of nodes start at once and all probe the same few seeds.
     */
    boolean isBootstrapping() {
        return !hasSeenEqualDigest
                && table.hasPresentPeers()
                && context.nowMs() - local.startedMs()
                        < BOOTSTRAP_ROUNDS * context.timings().probeIntervalMs();
    }

    /** The factor by which local health lengthens probe intervals and timeouts; 1 at full health. */
    int timeoutFactor() {
        return 1 + multiplier;
    }

    void onPause(double durationMs) {
        context.increment(MembershipCounter.PROCESS_PAUSES);
        pauseMs = durationMs;
        awaitedAcks = Math.min(ACKS_AFTER_PAUSE, table.presentCount() - 1);
        worsen(1);
    }

    void worsen(int steps) {
        multiplier = Math.min(MAX_MULTIPLIER, multiplier + steps);
    }

    void improve() {
        multiplier = Math.max(0, multiplier - 1);
    }

    void onUnansweredRound() {
        unansweredRounds++;
    }

    /** Notes that another node has the same view as this one, which ends bootstrapping. */
    void onEqualDigest() {
        hasSeenEqualDigest = true;
    }

    /**
     * Handles a message that proves that this node can reach others, and counts the acknowledgements of its own probes.
     * Returns whether this node trusts its view again after it did not. The caller then restarts all suspicions: no
     * refutation could reach this node in the meantime, so suspects whose time is over would be declared gone at once.
     */
    boolean onSignOfLife(int acks) {
        boolean hadNoConfidence = isCutOff() || isAwaitingAcksAfterPause();
        unansweredRounds = 0;
        awaitedAcks = Math.max(0, awaitedAcks - acks);
        return hadNoConfidence && !isAwaitingAcksAfterPause();
    }
}

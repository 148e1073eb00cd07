package spartrail.peers;

/**
 * This node's confidence in its own view, after Lifeguard (Dadgar, Phillips, Currey 2017): while it has a reason to doubt
 * itself it suspects nobody and ends no suspicion, and the poorer its health the longer its intervals and timeouts are.
 */
final class LocalHealth {
    private static final int MAX_MULTIPLIER = 4;
    /**
     * After so many rounds in a row in which neither the target nor a relay answered a node takes itself for cut off; that is
     * sooner than the suspicion of one accuser ends.
     */
    private static final int MAX_UNANSWERED_ROUNDS = 2;

    /** With fewer nodes than more than these a node can't tell whether it is cut off itself. */
    private static final int MIN_NODES_TO_DETECT_CUT = 3;
    /** Acknowledgements that a node waits for after a pause before it trusts itself again. */
    private static final int ACKS_AFTER_PAUSE = 2;

    private static final int BOOTSTRAP_ROUNDS = 30;

    private final MembershipContext context;
    private final LocalPeer local;
    private final PeerTable table;
    private final NameConflict nameConflict;
    private final PauseDetector pauseDetector;
    private int multiplier;
    private int unansweredRounds;
    private int acksWanted;
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

    /** Why this node trusts its own view less; empty where it doesn't. */
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

    /** Whether it may suspect others and end suspicions. */
    boolean maySuspect() {
        return !nameConflict.isNameLost()
                && !isAwaitingAcksAfterPause()
                && !isCutOff()
                && !pauseDetector.isRunningLate()
                && !isBootstrapping()
                && local.state() == PeerState.ALIVE;
    }

    private boolean isCutOff() {
        return unansweredRounds >= MAX_UNANSWERED_ROUNDS && table.presentCount() > MIN_NODES_TO_DETECT_CUT;
    }

    /** Where the others have all left during the pause no acknowledgement will come. */
    private boolean isAwaitingAcksAfterPause() {
        return Math.min(acksWanted, table.presentCount() - 1) > 0;
    }

    /** It has just started and doesn't know all others yet: hundreds that start at once all ask the same few seeds. */
    boolean isBootstrapping() {
        return !hasSeenEqualDigest
                && table.hasPresentPeers()
                && context.nowMs() - local.startedMs()
                        < BOOTSTRAP_ROUNDS * context.timings().probeIntervalMs();
    }

    /** Intervals and timeouts are so many times as long. */
    int timeoutFactor() {
        return 1 + multiplier;
    }

    void onPause(double lastedMs) {
        context.increment(MembershipCounter.PROCESS_PAUSES);
        pauseMs = lastedMs;
        acksWanted = Math.min(ACKS_AFTER_PAUSE, table.presentCount() - 1);
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

    /** Somebody holds the same view. */
    void onEqualDigest() {
        hasSeenEqualDigest = true;
    }

    /**
     * Somebody has told this node something new, with so many acknowledgements of its own probes. Returns whether it trusts
     * its view again. Suspicions have to begin anew then: it could hear no refutation meanwhile, and those whose time is over
     * would end at once.
     */
    boolean onSignOfLife(int acks) {
        boolean hadNoConfidence = isCutOff() || isAwaitingAcksAfterPause();
        unansweredRounds = 0;
        acksWanted = Math.max(0, acksWanted - acks);
        return hadNoConfidence && !isAwaitingAcksAfterPause();
    }
}

package spartrail.peers;

/**
 * Resolves conflicts with another process that uses this node's name. The later incarnation keeps the name; the earlier
 * one does not participate as long as the later one answers. A later incarnation at this node's own address can only be
 * a previous run of this node, from before the machine's clock was set back, so this node starts an incarnation after
 * it. A later incarnation at another address is a claimant until it answers. It is probed all the time, and is
 * considered ended if it has not answered for {@value #CLAIMANT_TIMEOUT_ROUNDS} rounds.
 */
final class NameConflict {
    /** With its increasing backoff a contact is probed four times in this number of rounds. */
    private static final int CLAIMANT_TIMEOUT_ROUNDS = 16;

    private final MembershipContext context;
    private final LocalPeer local;
    private final ContactList contacts;
    private final EventLog events;
    /** The known later incarnation, whether it has answered or not; null if there is none. */
    private PeerDescriptor claimant;
    /** The later incarnation if it has answered, else null. */
    private PeerDescriptor owner;

    private int claimantSilentRounds;

    NameConflict(MembershipContext context, LocalPeer local, ContactList contacts, EventLog events) {
        this.context = context;
        this.local = local;
        this.contacts = contacts;
        this.events = events;
    }

    /** Whether another process owns this node's name, so that this process does not participate. */
    boolean isNameLost() {
        return owner != null;
    }

    /** Address of the process that owns the name; valid only while {@link #isNameLost} holds. */
    String ownerAddress() {
        return owner.address();
    }

    /**
     * Handles an incarnation with this node's name, learned from its own fresh answer ({@code answered}) or otherwise.
     */
    void onSameName(PeerDescriptor other, boolean answered) {
        if (other.incarnation().compareTo(local.incarnation()) <= 0) {
            if (!other.incarnation().equals(local.incarnation())) {
                contacts.add(other.address());
            }
            return;
        }
        if (other.address().equals(local.address())) {
            startIncarnationAfter(other.incarnation());
        } else if (answered) {
            yieldTo(other);
        } else if (claimant == null) {
            setClaimant(other);
        }
    }

    private void yieldTo(PeerDescriptor other) {
        if (owner == null) {
            events.record(
                    local.descriptor(),
                    local.state(),
                    local.state(),
                    other.name(),
                    "another process has the name, from " + other.address());
            context.increment(MembershipCounter.NAME_CONFLICTS_LOST);
        }
        owner = other;
        setClaimant(other);
    }

    private void setClaimant(PeerDescriptor other) {
        claimant = other;
        claimantSilentRounds = 0;
        contacts.add(other.address());
    }

    /** Counts a round; if the claimant has not answered for too long, this node takes its name back. */
    void onRound() {
        if (claimant != null && claimantSilentRounds++ > CLAIMANT_TIMEOUT_ROUNDS) {
            Incarnation former = claimant.incarnation();
            owner = null;
            claimant = null;
            startIncarnationAfter(former);
        }
    }

    private void startIncarnationAfter(Incarnation former) {
        local.startIncarnationAfter(former);
        events.record(
                local.descriptor(), local.state(), local.state(), local.name(), "begins a life after its former one");
    }
}

package spartrail.peers;

/**
 * Another process with this node's name. The later incarnation keeps the name: an earlier one learns of it and takes no part
 * while the other one answers. A later incarnation at this node's own address can only be a former one of this process, from
 * before the machine's clock was set back; this node begins an incarnation after it. A later one elsewhere is a claimant until
 * it answers, and counts as over when it hasn't answered for some rounds; it is asked throughout.
 */
final class NameConflict {
    /** A contact is asked four times in these, ever more rarely. */
    private static final int CLAIMANT_TIMEOUT_ROUNDS = 16;

    private final MembershipContext context;
    private final LocalPeer local;
    private final ContactList contacts;
    private final EventLog events;
    /** The later incarnation, whether it has answered or not; null where none is known. */
    private PeerDescriptor claimant;
    /** The later incarnation once it has answered, else null. */
    private PeerDescriptor owner;

    private int claimantSilentRounds;

    NameConflict(MembershipContext context, LocalPeer local, ContactList contacts, EventLog events) {
        this.context = context;
        this.local = local;
        this.contacts = contacts;
        this.events = events;
    }

    /** Another process has the name: this one takes no part. */
    boolean isNameLost() {
        return owner != null;
    }

    /** Where the process is that has the name. */
    String ownerAddress() {
        return owner.address();
    }

    /** An incarnation of this node's name is known, by its own answer or from elsewhere. */
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

    /** A round has passed; a claimant that has been silent for long is over, and this node takes its name back. */
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

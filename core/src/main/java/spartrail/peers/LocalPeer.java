package spartrail.peers;

/** This node as it describes itself to others. It alone changes its incarnation, its refutations and its state. */
final class LocalPeer {
    private final MembershipContext context;
    private final double startedMs;
    private PeerDescriptor descriptor;
    private PeerState state = PeerState.JOINING;
    private long digest;

    LocalPeer(PeerDescriptor descriptor, MembershipContext context) {
        this.descriptor = descriptor;
        this.context = context;
        this.startedMs = context.nowMs();
        this.digest = PeerDigest.of(descriptor, state);
    }

    PeerDescriptor descriptor() {
        return descriptor;
    }

    String name() {
        return descriptor.name();
    }

    String address() {
        return descriptor.address();
    }

    Incarnation incarnation() {
        return descriptor.incarnation();
    }

    PeerState state() {
        return state;
    }

    boolean hasLeft() {
        return state == PeerState.LEFT;
    }

    double startedMs() {
        return startedMs;
    }

    double incarnationAgeMs() {
        return context.nowMs() - startedMs;
    }

    /** Its part of the digest of this node's view. */
    long digest() {
        return digest;
    }

    /** Begins an incarnation that outranks the present one and that one. */
    void startIncarnationAfter(Incarnation former) {
        long startMs = Math.max(former.startMs(), incarnation().startMs()) + 1;
        Incarnation next = new Incarnation(startMs, context.random().nextInt());
        replaceDescriptor(descriptor.withIncarnation(next, 0));
    }

    /** Outranks what others say of this incarnation with that number of refutations. */
    void refute(int refutations) {
        replaceDescriptor(descriptor.withIncarnation(incarnation(), refutations + 1));
    }

    /** Announces another version of the settings; as a change of the descriptor it outranks the former one. */
    void setSettingsVersion(String version) {
        if (!version.equals(descriptor.settingsVersion())) {
            replaceDescriptor(descriptor.withSettingsVersion(version, descriptor.refutations() + 1));
        }
    }

    void setAlive() {
        digest ^= PeerDigest.of(descriptor, state);
        state = PeerState.ALIVE;
        digest ^= PeerDigest.of(descriptor, state);
    }

    /** It ends. Its last messages carry the digest of before. */
    void leave() {
        state = PeerState.LEFT;
    }

    private void replaceDescriptor(PeerDescriptor replacement) {
        digest ^= PeerDigest.of(descriptor, state);
        descriptor = replacement;
        digest ^= PeerDigest.of(descriptor, state);
    }
}

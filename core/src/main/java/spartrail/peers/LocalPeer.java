package spartrail.peers;

/** This node as it describes itself to others. No other node changes its incarnation, refutations or state. */
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

    /** This node's contribution to the digest of its view. */
    long digest() {
        return digest;
    }

    /** Starts an incarnation that outranks both the current one and the given one. */
    void startIncarnationAfter(Incarnation former) {
        long startMs = Math.max(former.startMs(), incarnation().startMs()) + 1;
        Incarnation next = new Incarnation(startMs, context.random().nextInt());
        replaceDescriptor(descriptor.withIncarnation(next, 0));
    }

    /** Refutes updates about this incarnation that have the given number of refutations, by announcing one more. */
    void refute(int refutations) {
        replaceDescriptor(descriptor.withIncarnation(incarnation(), refutations + 1));
    }

    /** Announces another settings version; the changed descriptor outranks the previous one by one more refutation. */
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

    /** Marks this node as left. Its digest is not updated, so its last messages still carry the previous one. */
    void leave() {
        state = PeerState.LEFT;
    }

    private void replaceDescriptor(PeerDescriptor replacement) {
        digest ^= PeerDigest.of(descriptor, state);
        descriptor = replacement;
        digest ^= PeerDigest.of(descriptor, state);
    }
}

package spartrail.peers;

/**
 * Computes one peer's contribution to the view digest, by which two nodes detect that their views differ. It covers
 * name, incarnation, refutations and whether the peer is joining. The last is needed when hundreds of nodes start at
 * once: the update that a peer has joined may miss a node, which would list the peer as joining until the two happen to
 * exchange messages. Suspicions are left out, because they end by themselves.
 */
final class PeerDigest {
    private PeerDigest() {}

    static long of(PeerDescriptor descriptor, PeerState state) {
        long hash = descriptor.name().hashCode() * 0x9E3779B97F4A7C15L
                ^ descriptor.incarnation().startMs() * 0xC2B2AE3D27D4EB4FL
                ^ descriptor.incarnation().nonce() * 0x165667B19E3779F9L
                ^ descriptor.refutations() * 0xD6E8FEB86659FD93L
                ^ (state == PeerState.JOINING ? 0x2545F4914F6CDD1DL : 0);
        hash ^= hash >>> 32;
        hash *= 0x9FB21C651E98DF25L;
        return hash ^ hash >>> 28;
    }
}

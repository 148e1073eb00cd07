package spartrail.peers;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import spartrail.peers.PeerMessage.Kind;

/** Relays probes: probes a target for another node whose own probe of that target was not answered. */
final class IndirectProbeRelay {
    private static final int MAX_PROBES = 128;

    /** A relayed probe: the node that requested it, the nonce of the request, and the target. */
    private record IndirectProbe(String requesterAddress, long requesterNonce, PeerDescriptor target) {}

    private final MembershipContext context;
    private final PeerTable table;
    private final Dissemination dissemination;
    private final AnswerRateLimiter rateLimiter;
    private final Outbox outbox;
    private final Map<Long, IndirectProbe> probes = new LinkedHashMap<>();

    IndirectProbeRelay(
            MembershipContext context,
            PeerTable table,
            Dissemination dissemination,
            AnswerRateLimiter rateLimiter,
            Outbox outbox) {
        this.context = context;
        this.table = table;
        this.dissemination = dissemination;
        this.rateLimiter = rateLimiter;
        this.outbox = outbox;
    }

    /**
     * Probes the target that the message names, then sends the requester an indirect ACK, or a NACK after the timeout.
     */
    void onPingRequest(PeerMessage message, boolean isTrusted) {
        PeerDescriptor target = message.target();
        if (!isTrusted
                || target == null
                || !target.isWellFormed()
                || probes.size() >= MAX_PROBES
                || !rateLimiter.tryAcquire(true)) {
            context.increment(MembershipCounter.PING_REQUESTS_REJECTED);
            return;
        }
        long nonce = context.random().nextLong();
        probes.put(nonce, new IndirectProbe(message.sender().address(), message.nonce(), target));
        List<PeerUpdate> updates = dissemination.selectFor(table.get(target.name()));
        outbox.send(target.address(), Kind.PING, target.name(), nonce, null, updates);
        context.schedule(context.nowMs() + context.timings().ackTimeoutMs(), () -> onTimeout(nonce));
    }

    private void onTimeout(long nonce) {
        IndirectProbe probe = probes.remove(nonce);
        if (probe != null) {
            outbox.send(probe.requesterAddress, Kind.INDIRECT_NACK, "", probe.requesterNonce, null, List.of());
        }
    }

    /**
     * Forwards an acknowledgement to the requester; returns whether a relayed probe with that nonce was outstanding.
     */
    boolean acceptAck(PeerDescriptor sender, long nonce) {
        IndirectProbe probe = probes.remove(nonce);
        if (probe == null) {
            return false;
        }
        if (probe.target.name().equals(sender.name())) {
            outbox.send(probe.requesterAddress, Kind.INDIRECT_ACK, "", probe.requesterNonce, sender, List.of());
        }
        return true;
    }

    void abandonAll() {
        probes.clear();
    }
}

package spartrail.peers;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;

/** Buffers changes of this node's view until its owner drains them; drops the oldest beyond {@value #MAX_EVENTS}. */
final class EventLog {
    private static final int MAX_EVENTS = 1000;

    private final MembershipContext context;
    private final Supplier<String> healthProblem;
    private final Deque<PeerEvent> events = new ArrayDeque<>();

    EventLog(MembershipContext context, Supplier<String> healthProblem) {
        this.context = context;
        this.healthProblem = healthProblem;
    }

    void record(
            PeerDescriptor descriptor, PeerState previousState, PeerState newState, String reporter, String reason) {
        if (events.size() >= MAX_EVENTS) {
            events.poll();
            context.increment(MembershipCounter.EVENTS_DROPPED);
        }
        events.add(new PeerEvent(
                context.nowMs(), descriptor, previousState, newState, reporter, reason, healthProblem.get()));
    }

    List<PeerEvent> drain() {
        List<PeerEvent> drained = List.copyOf(events);
        events.clear();
        return drained;
    }
}

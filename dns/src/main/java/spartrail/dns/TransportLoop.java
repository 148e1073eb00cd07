package spartrail.dns;

import java.nio.channels.Selector;
import spartrail.model.NodeClock;
import spartrail.model.TimerQueue;

/** What the exchanges of a transport share: its selector, clock and timers, and the resolver that they report to. */
record TransportLoop(Selector selector, NodeClock clock, TimerQueue timers, Resolver resolver) {
    private static final System.Logger LOG = System.getLogger("spartrail.dns");

    double nowMs() {
        return clock.nowMs();
    }

    static void close(AutoCloseable channel) {
        try {
            channel.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.DEBUG, "closing", e);
        }
    }
}

package spartrail.dns;

import java.nio.channels.Selector;
import spartrail.model.NodeClock;
import spartrail.model.TimerQueue;

/**
 * The objects shared by the exchanges of a transport: selector, clock, timers, and the resolver that receives the
 * results.
 */
record TransportLoop(Selector selector, NodeClock clock, TimerQueue timers, Resolver resolver) {
    private static final System.Logger LOG = System.getLogger("spartrail.dns");

    double nowMs() {
        return clock.nowMs();
    }

    static void close(AutoCloseable channel) {
        try {
            channel.close();
        } catch (Exception e) {
            LOG.log(System.Logger.Level.DEBUG, "cannot close a channel", e);
        }
    }
}

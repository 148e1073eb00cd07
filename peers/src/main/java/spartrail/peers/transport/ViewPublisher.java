package spartrail.peers.transport;

import java.util.List;
import java.util.function.Consumer;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;
import spartrail.peers.PeerState;

/** Tells the history, the log, the channels and the node of changes of the view. Called on the gossip thread. */
final class ViewPublisher {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    /** A flood of changes must not fill the log. */
    private static final int MAX_LINES_PER_MINUTE = 120;

    private static final double MINUTE_MS = 60_000;

    private final MembershipHistory history;
    private final List<PeerChannel> channels;
    private final Consumer<MembershipView> views;
    private MembershipView published;
    private PeerDescriptor publishedSelf;
    private int linesThisMinute;
    private double minuteStartMs;

    /** Without a history where that is null. */
    ViewPublisher(MembershipHistory history, List<PeerChannel> channels, Consumer<MembershipView> views) {
        this.history = history;
        this.channels = channels;
        this.views = views;
    }

    /** Whether so much time has passed since a view was published that another one is due without a change. */
    boolean isDue(double nowMs, double intervalMs) {
        return published == null || nowMs - published.atMs() >= intervalMs;
    }

    void publish(MembershipView view, PeerDescriptor self, List<PeerEvent> events, double nowMs) {
        recordIncarnation(self);
        for (PeerEvent event : events) {
            if (history != null) {
                history.recordChange(view, event);
            }
            log(event, nowMs);
        }
        boolean isChanged = !events.isEmpty() || published == null || differs(published, view);
        if (isChanged && history != null) {
            history.recordView(view);
        }
        logHealth(view);
        published = view;
        channels.forEach(channel -> channel.onView(view));
        if (isChanged) {
            views.accept(view);
        }
    }

    private void recordIncarnation(PeerDescriptor self) {
        boolean isNew = publishedSelf == null || !publishedSelf.incarnation().equals(self.incarnation());
        if (isNew && history != null) {
            history.recordIncarnation(self);
        }
        publishedSelf = self;
    }

    private static boolean differs(MembershipView one, MembershipView other) {
        return !one.healthProblem().equals(other.healthProblem())
                || one.presentCount() != other.presentCount()
                || one.minCount() != other.minCount()
                || one.maxCount() != other.maxCount()
                || one.state() != other.state();
    }

    private void logHealth(MembershipView view) {
        if (published == null || published.healthProblem().equals(view.healthProblem())) {
            return;
        }
        String line =
                view.healthProblem().isEmpty() ? "no longer in doubt of itself" : "in doubt: " + view.healthProblem();
        LOG.log(System.Logger.Level.INFO, line);
    }

    private void log(PeerEvent event, double nowMs) {
        if (nowMs - minuteStartMs > MINUTE_MS) {
            if (linesThisMinute > MAX_LINES_PER_MINUTE) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        (linesThisMinute - MAX_LINES_PER_MINUTE) + " lines about other nodes were left out");
            }
            linesThisMinute = 0;
            minuteStartMs = nowMs;
        }
        if (linesThisMinute++ < MAX_LINES_PER_MINUTE && event.newState() != event.previousState()) {
            boolean isGone = event.newState() == PeerState.GONE;
            LOG.log(
                    isGone ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                    event.descriptor().name() + " at " + event.descriptor().address() + " is " + event.newState()
                            + " (was " + event.previousState() + "), by " + event.reporter() + ": "
                            + event.reason());
        }
    }
}

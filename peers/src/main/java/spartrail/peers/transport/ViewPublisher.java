package spartrail.peers.transport;

import java.util.List;
import java.util.function.Consumer;
import spartrail.peers.MembershipView;
import spartrail.peers.PeerChannel;
import spartrail.peers.PeerDescriptor;
import spartrail.peers.PeerEvent;
import spartrail.peers.PeerState;

/**
 * Publishes changes of the view to the history file, the log, the channels and the node. Called on the gossip thread.
 */
final class ViewPublisher {
    private static final System.Logger LOG = System.getLogger("spartrail.peering");
    /** Limits the log lines about peers, so that a flood of changes does not fill the log. */
    private static final int MAX_LOG_LINES_PER_MINUTE = 120;

    private static final double MINUTE_MS = 60_000;

    private final MembershipHistory history;
    private final List<PeerChannel> channels;
    private final Consumer<MembershipView> views;
    private MembershipView published;
    private PeerDescriptor publishedSelf;
    private int linesThisMinute;
    private double minuteStartMs;

    /** Records no history if {@code history} is null. */
    ViewPublisher(MembershipHistory history, List<PeerChannel> channels, Consumer<MembershipView> views) {
        this.history = history;
        this.channels = channels;
        this.views = views;
    }

    /**
     * Whether the view has to be published even without a change, because the interval since the last one has passed.
     */
    boolean isPublicationDue(double nowMs, double intervalMs) {
        return published == null || nowMs - published.atMs() >= intervalMs;
    }

    void publish(MembershipView view, PeerDescriptor self, List<PeerEvent> events, double nowMs) {
        recordIncarnation(self);
        for (PeerEvent event : events) {
            if (history != null) {
                history.recordChange(view, event);
            }
            logChange(event, nowMs);
        }
        boolean isChanged = !events.isEmpty() || published == null || isDifferent(published, view);
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

    private static boolean isDifferent(MembershipView previous, MembershipView current) {
        return !previous.healthProblem().equals(current.healthProblem())
                || previous.presentCount() != current.presentCount()
                || previous.minCount() != current.minCount()
                || previous.maxCount() != current.maxCount()
                || previous.state() != current.state();
    }

    private void logHealth(MembershipView view) {
        if (published == null || published.healthProblem().equals(view.healthProblem())) {
            return;
        }
        String line = view.healthProblem().isEmpty()
                ? "this node's view is reliable again"
                : "this node's view is unreliable: " + view.healthProblem();
        LOG.log(System.Logger.Level.INFO, line);
    }

    private void logChange(PeerEvent event, double nowMs) {
        if (nowMs - minuteStartMs > MINUTE_MS) {
            if (linesThisMinute > MAX_LOG_LINES_PER_MINUTE) {
                LOG.log(
                        System.Logger.Level.WARNING,
                        (linesThisMinute - MAX_LOG_LINES_PER_MINUTE)
                                + " log lines about changes of other nodes were suppressed; the limit is "
                                + MAX_LOG_LINES_PER_MINUTE + " per minute");
            }
            linesThisMinute = 0;
            minuteStartMs = nowMs;
        }
        if (linesThisMinute++ < MAX_LOG_LINES_PER_MINUTE && event.newState() != event.previousState()) {
            boolean isGone = event.newState() == PeerState.GONE;
            LOG.log(
                    isGone ? System.Logger.Level.WARNING : System.Logger.Level.INFO,
                    event.descriptor().name() + " at " + event.descriptor().address() + " is " + event.newState()
                            + " (was " + event.previousState() + "), reported by " + event.reporter() + ": "
                            + event.reason());
        }
    }
}

package spartrail.lab.load;

import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.ClientSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.model.TimerQueue;

/** One try of one client. Times are the host's clock. */
public final class ClientAttempt {
    public final Arrival arrival;
    final ClientSession story;
    final int tryNumber;
    /** When it was meant to be sent, and when the first try of its client was. */
    final double intendedMs;

    final double storyMs;
    final String id;
    /** The generator's own part of the delay so far. */
    double lagMs;

    double sentMs = Double.NaN;
    double writtenMs = Double.NaN;
    /** It was sent once more, as the connection closed under it. */
    boolean resent;
    /** Its client does not wait any more, but an answer is still looked for. */
    boolean lapsed;

    boolean over;
    ClientConnection conn;
    /** The node that it was sent to last. */
    LoadPlan.Target target;

    private String text;
    TimerQueue.Timer end;
    TimerQueue.Timer leave;

    ClientAttempt(Arrival arrival, ClientSession story, int tryNumber, double intendedMs, double storyMs) {
        this.arrival = arrival;
        this.story = story;
        this.tryNumber = tryNumber;
        this.intendedMs = intendedMs;
        this.storyMs = storyMs;
        this.id = arrival.id(tryNumber);
    }

    /** Its text, made once. */
    String text() {
        if (text == null) {
            text = arrival.text();
        }
        return text;
    }

    /** The node that it was sent to last, as HOST:PORT; empty before. */
    public String target() {
        return target == null ? "" : target.toString();
    }

    public String id() {
        return id;
    }

    public int tryNumber() {
        return tryNumber;
    }

    /** How long its client still waits. */
    public double leftMs(double nowMs) {
        return intendedMs + arrival.timeoutMs() - nowMs;
    }
}

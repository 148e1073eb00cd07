package spartrail.lab.load;

import spartrail.lab.plan.Arrival;
import spartrail.lab.plan.ClientSession;
import spartrail.lab.plan.LoadPlan;
import spartrail.model.TimerQueue;

/** One attempt of one client. Times are those of the transport's clock. */
public final class ClientAttempt {
    public final Arrival arrival;
    final ClientSession session;
    final int attemptNumber;
    /** When the plan intends it to be sent. */
    final double intendedMs;
    /** When the plan intends the first attempt of its session to be sent. */
    final double sessionStartMs;

    final String id;
    /** How late the generator itself began the attempt. */
    double lagMs;

    double sentMs = Double.NaN;
    double writtenMs = Double.NaN;
    /** Whether it was sent once more after its reused connection had closed. */
    boolean resent;
    /** Whether its client has stopped waiting; a late answer is still awaited. */
    boolean timedOut;

    boolean ended;
    ClientConnection connection;
    /** The front node that it was last sent to. */
    LoadPlan.Target target;

    private String text;
    TimerQueue.Timer timeoutTimer;
    TimerQueue.Timer abandonTimer;

    ClientAttempt(Arrival arrival, ClientSession session, int attemptNumber, double intendedMs, double sessionStartMs) {
        this.arrival = arrival;
        this.session = session;
        this.attemptNumber = attemptNumber;
        this.intendedMs = intendedMs;
        this.sessionStartMs = sessionStartMs;
        this.id = arrival.id(attemptNumber);
    }

    /** The text of its query, generated at the first call. */
    String text() {
        if (text == null) {
            text = arrival.text();
        }
        return text;
    }

    /** The front node that it was last sent to, as HOST:PORT; empty before the first send. */
    public String target() {
        return target == null ? "" : target.toString();
    }

    public String id() {
        return id;
    }

    public int attemptNumber() {
        return attemptNumber;
    }

    /** Time that remains until its client's timeout. */
    public double leftMs(double nowMs) {
        return intendedMs + arrival.timeoutMs() - nowMs;
    }
}

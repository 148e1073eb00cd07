package spartrail.lab.load;

import spartrail.lab.plan.LoadPlan;

/** A client's connection to a front node. */
public final class ClientConnection {
    public final LoadPlan.Target target;
    /** Whether it carries a single attempt and is then closed. */
    final boolean isOwn;
    /** The transport's own data about this connection. */
    public Object transportState;

    ClientAttempt attempt;
    boolean isEstablished;
    /** Whether an answer has been received on it. */
    boolean isUsed;

    boolean isDropped;

    ClientConnection(LoadPlan.Target target, boolean isOwn) {
        this.target = target;
        this.isOwn = isOwn;
    }
}

package spartrail.lab.load;

import spartrail.lab.plan.LoadPlan;

/** A client's connection to a front node. */
public final class ClientConnection {
    public final LoadPlan.Target target;
    final boolean own;
    /** What the host that carries it keeps for it. */
    public Object carrier;

    ClientAttempt ask;
    boolean up;
    boolean used;
    boolean gone;

    ClientConnection(LoadPlan.Target target, boolean own) {
        this.target = target;
        this.own = own;
    }
}

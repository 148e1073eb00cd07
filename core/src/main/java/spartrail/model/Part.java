package spartrail.model;

import java.util.ArrayList;
import java.util.List;

/** The share of a multiget that one shard answers. */
public final class Part {
    public long id;
    public Multiget multiget;
    public Shard shard;
    public double weight;
    public double costMs;
    public boolean held;
    public double heldSinceMs;
    public boolean answered;
    public boolean abandoned;
    public final List<Send> sends = new ArrayList<>();

    /** Its answer is still waited for. */
    public boolean open() {
        return !answered && !abandoned;
    }

    public boolean sendOut() {
        return sends.stream().anyMatch(Send::out);
    }

    public boolean triedAt(Server server) {
        return sends.stream().anyMatch(send -> send.server == server);
    }

    public boolean outAt(Server server) {
        return sends.stream().anyMatch(send -> send.out() && send.server == server);
    }
}

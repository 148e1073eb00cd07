package spartrail.policy.replication;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.List;

/** One of the few nodes that agree on the log, by its name. */
record Voter(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    static List<RaftEndpoint> of(Collection<String> names) {
        return names.stream().map(name -> (RaftEndpoint) new Voter(name)).toList();
    }

    static RaftEndpoint of(Object plain) {
        return plain.equals("") ? null : new Voter((String) plain);
    }

    static String name(RaftEndpoint decider) {
        return decider == null ? "" : (String) decider.getId();
    }

    static List<String> names(Collection<RaftEndpoint> deciders) {
        return deciders.stream().map(Voter::name).toList();
    }
}

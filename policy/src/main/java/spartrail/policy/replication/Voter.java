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

    static List<RaftEndpoint> endpoints(Collection<String> names) {
        return names.stream().map(name -> (RaftEndpoint) new Voter(name)).toList();
    }

    static RaftEndpoint endpointOrNull(Object plain) {
        return plain.equals("") ? null : new Voter((String) plain);
    }

    static String nameOf(RaftEndpoint decider) {
        return decider == null ? "" : (String) decider.getId();
    }

    static List<String> namesOf(Collection<RaftEndpoint> deciders) {
        return deciders.stream().map(Voter::nameOf).toList();
    }
}

package spartrail.policy.replication;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.List;

/** One of the few nodes that vote on the log, by its name. */
record Voter(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    /** The voters of these names. */
    static List<RaftEndpoint> endpoints(Collection<String> names) {
        return names.stream().map(name -> (RaftEndpoint) new Voter(name)).toList();
    }

    /** The voter of this name, or null for an empty one. */
    static RaftEndpoint endpointOrNull(String name) {
        return name.isEmpty() ? null : new Voter(name);
    }

    /** A voter's name, empty for null. */
    static String nameOf(RaftEndpoint voter) {
        return voter == null ? "" : (String) voter.getId();
    }

    /** The names of voters. */
    static List<String> namesOf(Collection<RaftEndpoint> voters) {
        return voters.stream().map(Voter::nameOf).toList();
    }
}

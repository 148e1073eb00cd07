package spartrail.policy.replication;

import io.microraft.RaftEndpoint;
import java.util.Collection;
import java.util.List;

/** A node that votes on the log, identified by its name. */
record Voter(String name) implements RaftEndpoint {
    @Override
    public Object getId() {
        return name;
    }

    /** The voters with these names. */
    static List<RaftEndpoint> endpointsOf(Collection<String> names) {
        return names.stream().map(name -> (RaftEndpoint) new Voter(name)).toList();
    }

    /** The voter with this name, or null for an empty name. */
    static RaftEndpoint endpointOrNull(String name) {
        return name.isEmpty() ? null : new Voter(name);
    }

    /** The name of a voter, or empty for null. */
    static String nameOf(RaftEndpoint voter) {
        return voter == null ? "" : (String) voter.getId();
    }

    /** The names of these voters. */
    static List<String> namesOf(Collection<RaftEndpoint> voters) {
        return voters.stream().map(Voter::nameOf).toList();
    }
}

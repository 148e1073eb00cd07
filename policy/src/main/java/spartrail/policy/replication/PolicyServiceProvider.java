package spartrail.policy.replication;

import java.io.IOException;
import java.nio.file.Path;
import spartrail.policy.PolicyService;

/** Versions of policy by datagrams, and an agreed log on disk. */
public final class PolicyServiceProvider implements PolicyService {
    static {
        // What the agreed log's library says of itself is not kept; without this it complains on standard error that
        // nobody does.
        System.getProperties().putIfAbsent("slf4j.internal.verbosity", "ERROR");
    }

    @Override
    public Running start(Path state, Host host) throws IOException {
        return new PolicyAgent(state, host);
    }
}

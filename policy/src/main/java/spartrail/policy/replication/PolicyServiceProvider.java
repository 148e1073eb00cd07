package spartrail.policy.replication;

import java.io.IOException;
import java.nio.file.Path;
import spartrail.policy.PolicyService;

/** Versions of policy by datagrams, and a replicated log on disk. */
public final class PolicyServiceProvider implements PolicyService {
    static {
        // The log of the Raft library is not kept; without this its logging facade complains on standard error that
        // there is none.
        System.getProperties().putIfAbsent("slf4j.internal.verbosity", "ERROR");
    }

    @Override
    public Running start(Path state, Host host) throws IOException {
        return new PolicyAgent(state, host);
    }
}
